/** Placeholder documentation of the module's root package. */
@NullMarked
package org.skylarkfork.daemon;

import org.jspecify.annotations.NullMarked;
