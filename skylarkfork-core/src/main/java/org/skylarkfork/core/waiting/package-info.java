/**
 * The shared queue of calls to plain services with few slots: the scheduler's side, which grants
 * slots, and the entry's side, which asks for them. The package knows upstreams only through {@link
 * org.skylarkfork.core.waiting.SlotDirectory}.
 */
@NullMarked
package org.skylarkfork.core.waiting;

import org.jspecify.annotations.NullMarked;
