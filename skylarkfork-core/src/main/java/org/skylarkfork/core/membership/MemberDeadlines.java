package org.skylarkfork.core.membership;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Deadlines of suspected members and of the removal of members that have ended. */
final class MemberDeadlines {

  private final MembershipSettings settings;
  private final Map<String, Suspicion> suspicions = new TreeMap<>();
  private final Map<String, Instant> removalTimes = new TreeMap<>();

  MemberDeadlines(MembershipSettings settings) {
    this.settings = settings;
  }

  /** Replaces the deadline of a member after a change of its status. */
  void update(MemberUpdate update, Instant now) {
    suspicions.remove(update.name());
    removalTimes.remove(update.name());
    if (update.status() == MemberStatus.SUSPECTED) {
      suspicions.put(update.name(), new Suspicion(settings, now, update.accuser()));
    } else if (!update.status().isLive()) {
      removalTimes.put(update.name(), now.plus(settings.memberRetention()));
    }
  }

  /**
   * Counts a further daemon that suspects a member.
   *
   * @return whether the member is suspected and has less time to refute it from now on
   */
  boolean confirmSuspicion(String node, String accuser) {
    Suspicion suspicion = suspicions.get(node);
    return suspicion != null && suspicion.confirm(accuser);
  }

  /** Returns the suspected members that haven't refuted the suspicion in time. */
  List<String> dueSuspicions(LocalHealth health, Instant now) {
    List<String> due = new ArrayList<>();
    suspicions.forEach(
        (node, suspicion) -> {
          if (!now.isBefore(suspicion.deadline(health))) {
            due.add(node);
          }
        });
    return due;
  }

  /** Removes and returns the members that ended long enough ago to be forgotten. */
  List<String> takeExpired(Instant now) {
    List<String> expired = new ArrayList<>();
    Iterator<Map.Entry<String, Instant>> entries = removalTimes.entrySet().iterator();
    while (entries.hasNext()) {
      Map.Entry<String, Instant> entry = entries.next();
      if (!now.isBefore(entry.getValue())) {
        entries.remove();
        expired.add(entry.getKey());
      }
    }
    return expired;
  }
}
