/** Placeholder documentation of the module's root package. */
@NullMarked
package org.skylarkfork.standin;

import org.jspecify.annotations.NullMarked;
