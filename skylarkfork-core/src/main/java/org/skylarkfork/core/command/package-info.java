/** Commands that the replicated groups agree on, their results and the state they build. */
@NullMarked
package org.skylarkfork.core.command;

import org.jspecify.annotations.NullMarked;
