/** Everything that can happen to a daemon, as data. */
@NullMarked
package org.skylarkfork.core.event;

import org.jspecify.annotations.NullMarked;
