package org.skylarkfork.core.attempt;

import java.time.Instant;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.Invariants;

/** The requests that this entry holds, found by id, attempt and time of the next look. */
final class ActiveRequests {

  private final Map<String, ActiveRequest> byId = new HashMap<>();
  private final Map<String, ActiveRequest> byAttempt = new HashMap<>();
  private final Set<TeamKey> keys = new HashSet<>();
  private final TreeSet<ActiveRequest> wakes =
      new TreeSet<>(
          Comparator.comparing((ActiveRequest active) -> active.wakeAt)
              .thenComparing(ActiveRequest::id));

  /** Requests whose last frame was sent but not yet handed over, the oldest first. */
  private final Map<String, Instant> delivering = new LinkedHashMap<>();

  private long heldBytes;

  private record TeamKey(String team, String key) {}

  void add(ActiveRequest active) {
    Invariants.check(!byId.containsKey(active.id()), "request ids are unique");
    byId.put(active.id(), active);
    keys.add(new TeamKey(active.team, active.key()));
    wakes.add(active);
  }

  void remove(ActiveRequest active) {
    Invariants.check(active.running.isEmpty(), "no attempt outlives its request");
    byId.remove(active.id());
    keys.remove(new TeamKey(active.team, active.key()));
    wakes.remove(active);
    clearAnswer(active);
  }

  @Nullable ActiveRequest find(String requestId) {
    return byId.get(requestId);
  }

  @Nullable ActiveRequest ofAttempt(String attemptId) {
    return byAttempt.get(attemptId);
  }

  boolean runsKey(String team, String key) {
    return keys.contains(new TeamKey(team, key));
  }

  int size() {
    return byId.size();
  }

  void addAttempt(ActiveRequest active, Attempt attempt) {
    active.running.put(attempt.id, attempt);
    byAttempt.put(attempt.id, active);
  }

  void removeAttempt(ActiveRequest active, Attempt attempt) {
    active.running.remove(attempt.id);
    byAttempt.remove(attempt.id);
  }

  /** Looks at a request again not later than at a time. */
  void wakeBy(ActiveRequest active, Instant at) {
    if (at.isBefore(active.wakeAt)) {
      move(active, at);
    }
  }

  /** Takes the next request whose time has come; it is looked at again by its end at the latest. */
  @Nullable ActiveRequest nextDue(Instant now) {
    if (wakes.isEmpty() || wakes.first().wakeAt.isAfter(now)) {
      return null;
    }
    ActiveRequest due = wakes.first();
    move(due, nextLook(due, now));
    return due;
  }

  private static Instant nextLook(ActiveRequest active, Instant now) {
    if (active.latestEnd().isAfter(now)) {
      return active.latestEnd();
    }
    Instant deadline = active.request.deadline();
    return deadline.isAfter(now) ? deadline : Instant.MAX;
  }

  private void move(ActiveRequest active, Instant at) {
    wakes.remove(active);
    active.wakeAt = at;
    wakes.add(active);
  }

  long heldBytes() {
    return heldBytes;
  }

  void append(ActiveRequest active, int tokens, String text, boolean keepText) {
    long before = active.answer.bytes();
    active.answer.append(tokens, text, keepText);
    heldBytes += active.answer.bytes() - before;
  }

  void dropText(ActiveRequest active) {
    heldBytes -= active.answer.dropText();
  }

  void clearAnswer(ActiveRequest active) {
    heldBytes -= active.answer.clear();
  }

  void startDelivery(String requestId, Instant now) {
    delivering.put(requestId, now);
  }

  void endDelivery(String requestId) {
    delivering.remove(requestId);
  }

  /** Stops watching answers that were sent before a time. */
  int forgetDeliveries(Instant before) {
    int size = delivering.size();
    var oldest = delivering.values().iterator();
    while (oldest.hasNext() && oldest.next().isBefore(before)) {
      oldest.remove();
    }
    return size - delivering.size();
  }

  boolean isIdle() {
    return byId.isEmpty() && delivering.isEmpty();
  }
}
