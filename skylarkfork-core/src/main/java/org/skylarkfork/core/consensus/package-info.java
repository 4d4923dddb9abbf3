/** Replicates state machines across daemons with the Raft consensus algorithm. */
@NullMarked
package org.skylarkfork.core.consensus;

import org.jspecify.annotations.NullMarked;
