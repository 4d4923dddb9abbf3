/** Keeps the same state on several daemons: a replicated log after Raft's published rules. */
@NullMarked
package org.skylarkfork.core.consensus;

import org.jspecify.annotations.NullMarked;
