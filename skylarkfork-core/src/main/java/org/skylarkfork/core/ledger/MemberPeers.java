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
 * Selects backups among the members by rendezvous hashing, so that a change of one member reassigns
 * few backups.
 */
public final class MemberPeers implements LivePeers {

  private static final int HASH_MULTIPLIER = 0x9E3779B9;
  private static final Comparator<Candidate> BY_RANK =
      Comparator.comparingInt(Candidate::rank).thenComparing(Candidate::name);

  private final Members members;

  /**
   * Creates a selector.
   *
   * @param members the members of the deployment
   */
  public MemberPeers(Members members) {
    this.members = members;
  }

  /**
   * Selects the candidate of lowest rank, and the next one in a third zone; if no other candidate
   * is in a third zone, the next one by rank.
   *
   * <p>The method is called at each tick, so it takes time linear in the number of members.
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
      if (isEligible(member)) {
        candidates.add(new Candidate(member.name(), member.zone(), rank(member)));
      }
    }
    return candidates;
  }

  private boolean isEligible(Member member) {
    return member.hasRole(Member.ENTRY)
        && !member.zone().equals(members.self().zone())
        && !members.isSuspected(member.name());
  }

  private int rank(Member member) {
    int hash = (members.self().name() + "/" + member.name()).hashCode() * HASH_MULTIPLIER;
    return hash ^ (hash >>> 15);
  }

  @Override
  public boolean isGone(String node, Instant now) {
    return members.find(node).isEmpty();
  }

  private record Candidate(String name, String zone, int rank) {}
}
