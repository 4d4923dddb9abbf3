package org.skylarkfork.runtime.loop;

import org.skylarkfork.core.membership.Member;

/**
 * First line of a journal file: with the daemon's settings, all that a replay needs besides the
 * events.
 *
 * @param seed seed of the daemon's random choices
 * @param self the daemon as the others see it
 */
public record JournalStart(long seed, Member self) {}
