package org.skylarkfork.core.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.skylarkfork.core.membership.Hashes;
import org.skylarkfork.core.membership.Member;
import org.skylarkfork.core.membership.Members;

/** Which entries there are, and were a while ago, and which of them owns a team's limits. */
final class EntryView {

  private static final Duration REFRESH_INTERVAL = Duration.ofMillis(100);

  private final Members members;
  private final Duration retention;
  private final TreeMap<String, Instant> lastSeen = new TreeMap<>();
  private final Map<String, String> owners = new HashMap<>();
  private List<String> live = List.of();
  private Instant changedAt = Instant.MIN;
  private Instant refreshedAt = Instant.MIN;

  EntryView(Members members, Duration retention) {
    this.members = members;
    this.retention = retention;
  }

  /** Looks at the members again from time to time; returns whether the live entries changed. */
  boolean refresh(Instant now) {
    if (!live.isEmpty() && now.isBefore(refreshedAt.plus(REFRESH_INTERVAL))) {
      return false;
    }
    refreshedAt = now;
    List<String> names =
        members.live().stream()
            .filter(member -> member.hasRole(Member.ENTRY))
            .map(Member::name)
            .toList();
    names.forEach(name -> lastSeen.put(name, now));
    lastSeen.values().removeIf(seen -> seen.plus(retention).isBefore(now));
    if (names.equals(live)) {
      return false;
    }
    live = names;
    changedAt = now;
    owners.clear();
    return true;
  }

  String self() {
    return members.self().name();
  }

  boolean isSuperseded() {
    return members.isSuperseded();
  }

  boolean isLive(String entry) {
    return live.contains(entry);
  }

  /** Returns since when the live entries are the same. */
  Instant changedAt() {
    return changedAt;
  }

  /** Returns how many entries there are or were a while ago, at least 1. */
  int knownCount() {
    return Math.max(1, lastSeen.size());
  }

  /** Returns whether the live entries are most of the known ones; half counts with the first. */
  boolean hasMajority() {
    int doubledLive = live.size() * 2;
    return doubledLive > lastSeen.size()
        || (doubledLive == lastSeen.size()
            && !live.isEmpty()
            && live.contains(lastSeen.firstKey()));
  }

  /** Returns the entry that hands out a team's limits; this one if it knows of none. */
  String ownerOf(String team) {
    return live.isEmpty()
        ? self()
        : owners.computeIfAbsent(team, name -> Hashes.rendezvous(name, live).get(0));
  }
}
