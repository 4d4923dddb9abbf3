/** Settings of the parts that act under overload. The package knows none of these parts. */
@NullMarked
package org.skylarkfork.core.overload;

import org.jspecify.annotations.NullMarked;
