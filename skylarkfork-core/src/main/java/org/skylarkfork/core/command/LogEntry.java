package org.skylarkfork.core.command;

import java.time.Instant;

/**
 * An entry of a group's log.
 *
 * @param index position in the log, from 1
 * @param term term of the leader that appended it
 * @param stampedAt the leader's time at the append; never decreases along the log
 * @param command the replicated command
 */
public record LogEntry(long index, long term, Instant stampedAt, Command command) {}
