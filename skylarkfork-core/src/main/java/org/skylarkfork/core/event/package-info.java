/** Events: all inputs of a daemon's reducer, as immutable data. */
@NullMarked
package org.skylarkfork.core.event;

import org.jspecify.annotations.NullMarked;
