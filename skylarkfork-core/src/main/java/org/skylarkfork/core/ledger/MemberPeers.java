package org.skylarkfork.core.ledger;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.skylarkfork.core.membership.Member;
import org.skylarkfork.core.membership.Members;

/**
 * Picks backups among the members by rendezvous hashing, so that a change of one member moves few
 * backups.
 */
public final class MemberPeers implements LivePeers {

  private static final int MIXER = 0x9E3779B9;
  private static final Comparator<Candidate> BY_RANK =
      Comparator.comparingInt(Candidate::rank).thenComparing(Candidate::name);

  private final Members members;

  /**
   * Makes the view.
   *
   * @param members the daemons that are there
   */
  public MemberPeers(Members members) {
    this.members = members;
  }

  /**
   * Picks the first by rank, and the next one that is in a third zone if there is any.
   *
   * <p>Called at each tick, so it takes time linear in the number of members.
   */
  @Override
  public List<String> backups(Instant now) {
    List<Candidate> candidates = candidates();
    Optional<Candidate> first = candidates.stream().min(BY_RANK);
    if (first.isEmpty()) {
      return List.of();
    }
    Candidate chosen = first.get();
    Optional<Candidate> second =
        candidates.stream().filter(other -> !other.zone().equals(chosen.zone())).min(BY_RANK);
    if (second.isEmpty()) {
      second = candidates.stream().filter(other -> !other.equals(chosen)).min(BY_RANK);
    }
    return Stream.of(first, second).flatMap(Optional::stream).map(Candidate::name).toList();
  }

  private List<Candidate> candidates() {
    List<Candidate> candidates = new ArrayList<>();
    for (Member member : members.live()) {
      if (canBack(member)) {
        candidates.add(new Candidate(member.name(), member.zone(), rank(member)));
      }
    }
    return candidates;
  }

  private boolean canBack(Member member) {
    return member.hasRole(Member.ENTRY)
        && !member.zone().equals(members.self().zone())
        && !members.isSuspected(member.name());
  }

  private int rank(Member member) {
    int hash = (members.self().name() + "/" + member.name()).hashCode() * MIXER;
    return hash ^ (hash >>> 15);
  }

  @Override
  public boolean isGone(String node, Instant now) {
    return members.find(node).isEmpty();
  }

  private record Candidate(String name, String zone, int rank) {}
}
