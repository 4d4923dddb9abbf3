/** Proves the promises with real daemons: starts them, disturbs them and checks what is left. */
@NullMarked
package org.skylarkfork.daemon.proof;

import org.jspecify.annotations.NullMarked;
