/** Placeholder documentation of the module's root package. */
@NullMarked
package org.skylarkfork.runtime;

import org.jspecify.annotations.NullMarked;
