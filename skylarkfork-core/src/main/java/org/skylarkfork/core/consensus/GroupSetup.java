package org.skylarkfork.core.consensus;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.command.GroupId;
import org.skylarkfork.core.command.StateMachine;

/**
 * A group as a daemon's settings describe it.
 *
 * @param group name of the group
 * @param initialVoters nodes that found the group while all their disks are empty, the same list on
 *     each daemon; later the place to ask for the leader. The first one founds the group
 * @param membershipChangePolicy how the group takes in and drops members by itself
 * @param stateMachine what this daemon's replica applies commands to, or null if it hosts none
 */
public record GroupSetup(
    GroupId group,
    List<String> initialVoters,
    MembershipChangePolicy membershipChangePolicy,
    @Nullable StateMachine stateMachine) {

  /** Makes the setup of a group that operators grow. */
  public GroupSetup(
      GroupId group, List<String> initialVoters, @Nullable StateMachine stateMachine) {
    this(group, initialVoters, MembershipChangePolicy.MANUAL, stateMachine);
  }

  /** Copies the list. */
  public GroupSetup {
    initialVoters = List.copyOf(initialVoters);
  }
}
