package org.skylarkfork.core.session;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.membership.Hashes;
import org.skylarkfork.core.membership.Member;
import org.skylarkfork.core.membership.ServingState;

/**
 * Finds the two daemons, in two zones where there are two, that keep a session's pins.
 *
 * <p>They are entries of this daemon's own region: asking another region would take longer than a
 * request may wait. A session that moves between regions is carried by its token.
 */
final class SessionOwners {

  private final List<Candidate> candidates;

  /** Makes owners of the entries of a region that are there and stay. */
  SessionOwners(List<Member> members, String region) {
    this(
        members.stream()
            .filter(member -> member.hasRole(Member.ENTRY) && member.region().equals(region))
            .filter(member -> member.serving() != ServingState.LEAVING)
            .map(SessionOwners::candidate)
            .toList());
  }

  private SessionOwners(List<Candidate> candidates) {
    this.candidates = candidates;
  }

  /** Returns the same owners but one. */
  SessionOwners without(String name) {
    return new SessionOwners(
        candidates.stream().filter(candidate -> !candidate.name.equals(name)).toList());
  }

  boolean hasSameCandidates(SessionOwners other) {
    return candidates.equals(other.candidates);
  }

  /** Returns the owners of a session, at most two. */
  List<String> of(SessionKey key) {
    long hash = Hashes.of(key.team() + '\n' + key.session());
    List<String> owners = new ArrayList<>(2);
    Candidate first = best(hash, null, null);
    if (first != null) {
      owners.add(first.name);
      Candidate inOtherZone = best(hash, null, first.zone);
      Candidate second = inOtherZone == null ? best(hash, first, null) : inOtherZone;
      if (second != null) {
        owners.add(second.name);
      }
    }
    return owners;
  }

  private @Nullable Candidate best(
      long key, @Nullable Candidate excluded, @Nullable String excludedZone) {
    Candidate best = null;
    long bestWeight = Long.MIN_VALUE;
    for (Candidate candidate : candidates) {
      if (candidate == excluded || candidate.zone.equals(excludedZone)) {
        continue;
      }
      long weight = Hashes.mix(key ^ candidate.hash);
      if (best == null || weight > bestWeight) {
        best = candidate;
        bestWeight = weight;
      }
    }
    return best;
  }

  private static Candidate candidate(Member member) {
    return new Candidate(member.name(), member.zone(), Hashes.of(member.name()));
  }

  private record Candidate(String name, String zone, long hash) {}
}
