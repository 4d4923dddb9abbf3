package org.skylarkfork.core.command;

import java.time.Instant;
import java.util.List;

/**
 * A group's state up to an index, which replaces the log before it.
 *
 * @param index last log index that the state covers
 * @param term term of that entry
 * @param stampedAt the leader's time of that entry
 * @param voters voters at that index
 * @param learners learners at that index
 * @param state the state itself
 */
public record Snapshot(
    long index,
    long term,
    Instant stampedAt,
    List<String> voters,
    List<String> learners,
    GroupState state) {

  /** Copies both lists. */
  public Snapshot {
    voters = List.copyOf(voters);
    learners = List.copyOf(learners);
  }
}
