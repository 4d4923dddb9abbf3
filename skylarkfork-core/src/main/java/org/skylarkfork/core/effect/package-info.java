/** Effects: all outputs of a daemon's reducer, as immutable data. */
@NullMarked
package org.skylarkfork.core.effect;

import org.jspecify.annotations.NullMarked;
