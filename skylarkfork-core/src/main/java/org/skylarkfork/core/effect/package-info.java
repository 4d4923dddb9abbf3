/** Everything a daemon can do, as data. */
@NullMarked
package org.skylarkfork.core.effect;

import org.jspecify.annotations.NullMarked;
