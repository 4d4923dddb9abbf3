package org.skylarkfork.core.consensus;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.command.GroupId;
import org.skylarkfork.core.command.StateMachine;

/**
 * Configuration of a replicated group on one daemon.
 *
 * @param group id of the group
 * @param initialVoters nodes that form the group while all their disks are empty, the same list on
 *     each daemon; later the nodes that are asked for the leader. The first node bootstraps the
 *     group
 * @param membershipChangePolicy how the group adds and removes members without an operator
 * @param stateMachine state machine of this daemon's replica, or null if the daemon hosts no
 *     replica
 */
public record GroupSetup(
    GroupId group,
    List<String> initialVoters,
    MembershipChangePolicy membershipChangePolicy,
    @Nullable StateMachine stateMachine) {

  /** Creates the setup of a group whose members only operators change. */
  public GroupSetup(
      GroupId group, List<String> initialVoters, @Nullable StateMachine stateMachine) {
    this(group, initialVoters, MembershipChangePolicy.MANUAL, stateMachine);
  }

  /** Copies the list of voters. */
  public GroupSetup {
    initialVoters = List.copyOf(initialVoters);
  }
}
