/** Messages between the daemons. */
@NullMarked
package org.skylarkfork.core.message;

import org.jspecify.annotations.NullMarked;
