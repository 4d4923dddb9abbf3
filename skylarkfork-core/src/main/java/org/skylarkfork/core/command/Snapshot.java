package org.skylarkfork.core.command;

import java.time.Instant;

/**
 * A group's state up to an index, which replaces the log up to that index.
 *
 * @param index last log index that the state covers
 * @param term term of that entry
 * @param stampedAt leader's time of that entry
 * @param members members of the group at that index
 * @param state the state itself
 */
public record Snapshot(
    long index, long term, Instant stampedAt, Members members, GroupState state) {}
