/** Commands of the replicated groups, their results and the state that they change. */
@NullMarked
package org.skylarkfork.core.command;

import org.jspecify.annotations.NullMarked;
