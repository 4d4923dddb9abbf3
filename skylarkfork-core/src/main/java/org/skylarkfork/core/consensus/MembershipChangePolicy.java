package org.skylarkfork.core.consensus;

import java.time.Duration;

/**
 * How a group takes in and drops members without an operator.
 *
 * @param mayFound whether a replica with an empty disk may found the group; false once the system
 *     has run, since the disk is then a wiped one
 * @param targetVoters voters that the group grows to and is repaired to; 0 leaves it to operators
 * @param replacementTimeout time without an answer after which a voter may be replaced by a
 *     newcomer
 */
public record MembershipChangePolicy(
    boolean mayFound, int targetVoters, Duration replacementTimeout) {

  /** Operators take members in and drop them. */
  public static final MembershipChangePolicy MANUAL =
      new MembershipChangePolicy(true, 0, Duration.ZERO);

  /** Returns whether the group changes its members by itself. */
  public boolean automatic() {
    return targetVoters > 0;
  }
}
