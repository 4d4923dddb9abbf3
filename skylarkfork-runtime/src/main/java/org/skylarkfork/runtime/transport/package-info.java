/** Sends and receives messages between the daemons in frames over TCP. */
@NullMarked
package org.skylarkfork.runtime.transport;

import org.jspecify.annotations.NullMarked;
