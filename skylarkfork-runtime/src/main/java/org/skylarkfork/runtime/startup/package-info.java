/**
 * What a daemon's process does before the rest of the daemon is loaded, and at its end: listening
 * sockets, signals, failures that nothing catches.
 */
@NullMarked
package org.skylarkfork.runtime.startup;

import org.jspecify.annotations.NullMarked;
