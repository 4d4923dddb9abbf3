package org.skylarkfork.core.command;

import java.time.Instant;

/**
 * One entry of a group's log.
 *
 * @param index position in the log, from 1
 * @param term term of the leader that appended it
 * @param stampedAt the leader's time at the append; never decreases along the log
 * @param command what is agreed on
 */
public record LogEntry(long index, long term, Instant stampedAt, Command command) {}
