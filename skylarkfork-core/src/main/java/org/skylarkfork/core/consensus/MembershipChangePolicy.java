package org.skylarkfork.core.consensus;

import java.time.Duration;

/**
 * Policy for adding and removing members of a group without an operator.
 *
 * @param mayFound whether a replica with an empty disk may bootstrap the group; false once the
 *     system has been in service, as an empty disk then means lost data
 * @param targetVoters number of voters that the group maintains; 0 leaves member changes to
 *     operators
 * @param replacementTimeout time without a response after which a voter may be replaced by a
 *     joining node
 */
public record MembershipChangePolicy(
    boolean mayFound, int targetVoters, Duration replacementTimeout) {

  /** Only operators add and remove members. */
  public static final MembershipChangePolicy MANUAL =
      new MembershipChangePolicy(true, 0, Duration.ZERO);

  /** Returns whether the group changes its members without an operator. */
  public boolean automatic() {
    return targetVoters > 0;
  }
}
