package org.skylarkfork.core.consensus;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.command.GroupCommand;
import org.skylarkfork.core.command.Member;
import org.skylarkfork.core.command.Members;

/**
 * Decides on the leader's member changes: one change at a time, and a learner becomes a voter only
 * once it has caught up.
 *
 * <p>Two concurrent changes could create two majorities without a common voter, and each could
 * elect its own leader. As long as each change adds or removes one voter and waits until the
 * previous change is committed, any two majorities overlap.
 */
final class MemberChanges {

  private static final int MAX_JOINING_NODES = 64;

  private final Replica replica;
  private final Replication replication;
  private final MembershipChangePolicy policy;
  private final Map<String, Long> joiningInstances = new HashMap<>();
  private final Map<String, Instant> joinRequestedAt = new HashMap<>();

  MemberChanges(Replica replica, Replication replication, MembershipChangePolicy policy) {
    this.replica = replica;
    this.replication = replication;
    this.policy = policy;
  }

  void start() {
    joiningInstances.clear();
    joinRequestedAt.clear();
  }

  /** Records a replica's request to join. */
  void recordJoinRequest(String node, long instance, Instant now) {
    if (joiningInstances.containsKey(node) || joiningInstances.size() < MAX_JOINING_NODES) {
      joiningInstances.put(node, instance);
      joinRequestedAt.put(node, now);
    }
  }

  /** Returns why no member change is possible now, or null if one is possible. */
  @Nullable String rejectionReason() {
    if (replica.log.termAt(replica.commitIndex()) != replica.term()) {
      return "raft: the leader is new; submit again in a second";
    }
    if (replica.members.latestIndex() > replica.commitIndex()) {
      return "raft: another change of members isn't committed yet; submit again once it is";
    }
    return null;
  }

  /** Returns why a node can't be admitted, or null if it can. */
  @Nullable String admitRejectionReason(String node) {
    Long instance = joiningInstances.get(node);
    if (instance == null) {
      return "raft: " + node + " doesn't ask to join; start it with this group, then submit again";
    }
    if (replica.members.latest().all().contains(new Member(node, instance))) {
      return "raft: " + node + " is a member already; nothing is to be done";
    }
    if (isOnlyVoter(node)) {
      return "raft: " + node + " is the only voter; admit another node first";
    }
    return rejectionReason();
  }

  GroupCommand.ChangeMembers admit(String node) {
    Member learner = new Member(node, joiningInstances.get(node));
    return new GroupCommand.ChangeMembers(replica.members.latest().withLearner(learner));
  }

  /** Returns why a node can't be removed, or null if it can. */
  @Nullable String removeRejectionReason(String node) {
    if (replica.members.latest().find(node) == null) {
      return "raft: " + node + " isn't a member; nothing is to be done";
    }
    if (isOnlyVoter(node)) {
      return "raft: " + node + " is the only voter; admit another node first";
    }
    return rejectionReason();
  }

  GroupCommand.ChangeMembers remove(String node) {
    return new GroupCommand.ChangeMembers(replica.members.latest().without(node));
  }

  private boolean isOnlyVoter(String node) {
    Members rest = replica.members.latest().without(node);
    return rest.voters().isEmpty();
  }

  /** Returns a change that the leader makes without an operator, or null if there is none. */
  GroupCommand.@Nullable ChangeMembers nextChange(EventContext context) {
    if (rejectionReason() != null) {
      return null;
    }
    Member learner = replication.caughtUpLearner(context.now());
    if (learner != null && needsVoter()) {
      String facts = "learner=" + learner + " commit=" + replica.commitIndex();
      context.log(replica.group, "learner_caught_up", facts);
      return new GroupCommand.ChangeMembers(replica.members.latest().withVoter(learner));
    }
    for (String node : joiningInstances.keySet()) {
      if (hasReplacedDisk(node) && admitRejectionReason(node) == null) {
        return admit(node);
      }
    }
    return policy.automatic() ? nextAutomaticChange(context.now()) : null;
  }

  private boolean needsVoter() {
    return !policy.automatic()
        || replica.members.latest().voters().size() < policy.targetVoters()
        || unresponsiveVoter() != null;
  }

  /**
   * Removes a voter if there are more than the target, removes an unresponsive learner, or admits a
   * joining node as a learner.
   *
   * <p>An unresponsive voter is removed only after its replacement has become a voter, so that the
   * number of copies never decreases.
   */
  private GroupCommand.@Nullable ChangeMembers nextAutomaticChange(Instant now) {
    Members members = replica.members.latest();
    String unresponsive = unresponsiveVoter();
    if (members.voters().size() > policy.targetVoters()) {
      return remove(unresponsive == null ? newestOtherVoter(members) : unresponsive);
    }
    for (Member learner : members.learners()) {
      if (replication.unresponsiveFor(learner, policy.replacementTimeout())) {
        return remove(learner.node());
      }
    }
    for (Map.Entry<String, Instant> joinRequest : joinRequestedAt.entrySet()) {
      boolean requestIsRecent =
          joinRequest.getValue().plus(policy.replacementTimeout()).isAfter(now);
      if (requestIsRecent && members.find(joinRequest.getKey()) == null) {
        return admit(joinRequest.getKey());
      }
    }
    return null;
  }

  /**
   * Returns the voter to remove when all voters respond, because a lost voter came back.
   *
   * <p>Otherwise each such return would add a voter, and the size of a majority would grow.
   */
  private String newestOtherVoter(Members members) {
    String newest = replica.node;
    for (Member voter : members.voters()) {
      newest = voter.node().equals(replica.node) ? newest : voter.node();
    }
    return newest;
  }

  private @Nullable String unresponsiveVoter() {
    for (Member voter : replica.members.latest().voters()) {
      boolean other = !voter.equals(replica.self());
      if (other && replication.unresponsiveFor(voter, policy.replacementTimeout())) {
        return voter.node();
      }
    }
    return null;
  }

  /**
   * Returns whether a joining member other than this leader returned with another disk.
   *
   * <p>Its votes and entries are lost. If it counted as the old voter, it could help to elect a
   * leader without all accepted entries, so it starts again as a learner.
   */
  private boolean hasReplacedDisk(String node) {
    Member member = replica.members.latest().find(node);
    return member != null && !member.node().equals(replica.node);
  }
}
