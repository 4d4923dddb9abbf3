package org.skylarkfork.core.command;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * The replicas of a group.
 *
 * @param voters replicas that count for the quorum
 * @param learners replicas that copy the log without counting
 */
public record Members(List<Member> voters, List<Member> learners) {

  /** The members of a group that isn't founded yet. */
  public static final Members NONE = new Members(List.of(), List.of());

  /** Copies both lists. */
  public Members {
    voters = List.copyOf(voters);
    learners = List.copyOf(learners);
  }

  /** Returns how many voters make a majority; 1 if there are none. */
  public int quorum() {
    return voters.size() / 2 + 1;
  }

  /** Returns voters and learners together, voters first. */
  public List<Member> all() {
    List<Member> all = new ArrayList<>(voters);
    all.addAll(learners);
    return all;
  }

  /** Returns the member of that node, or null if it has none. */
  public @Nullable Member find(String node) {
    for (Member member : all()) {
      if (member.node().equals(node)) {
        return member;
      }
    }
    return null;
  }

  /** Returns whether the replica counts for the quorum. */
  public boolean votes(Member member) {
    return voters.contains(member);
  }

  /** Returns the members for a log line. */
  public String describe() {
    return "voters=" + voters + " learners=" + learners;
  }

  /** Returns these members without the node's. */
  public Members without(String node) {
    List<Member> otherVoters = new ArrayList<>(voters);
    otherVoters.removeIf(member -> member.node().equals(node));
    List<Member> otherLearners = new ArrayList<>(learners);
    otherLearners.removeIf(member -> member.node().equals(node));
    return new Members(otherVoters, otherLearners);
  }

  /** Returns these members with the replica as a learner in place of the node's present one. */
  public Members withLearner(Member learner) {
    Members others = without(learner.node());
    List<Member> extended = new ArrayList<>(others.learners);
    extended.add(learner);
    return new Members(others.voters, extended);
  }

  /** Returns these members with the replica as a voter in place of the node's present one. */
  public Members withVoter(Member voter) {
    Members others = without(voter.node());
    List<Member> extended = new ArrayList<>(others.voters);
    extended.add(voter);
    return new Members(extended, others.learners);
  }
}
