/** Placeholder documentation of the module's root package. */
@NullMarked
package org.skylarkfork.core;

import org.jspecify.annotations.NullMarked;
