package org.skylarkfork.core.attempt;

import java.time.Instant;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.Invariants;

/** The active requests of this entry, indexed by id, by attempt and by time of the next check. */
final class ActiveRequests {

  private final Map<String, ActiveRequest> byId = new HashMap<>();
  private final Map<String, ActiveRequest> byAttempt = new HashMap<>();
  private final Set<TeamKey> activeKeys = new HashSet<>();
  private final TreeSet<ActiveRequest> checkQueue =
      new TreeSet<>(
          Comparator.comparing((ActiveRequest active) -> active.nextCheckAt)
              .thenComparing(ActiveRequest::id));

  /**
   * When each final frame was sent whose delivery is not confirmed, by request id, oldest first.
   */
  private final Map<String, Instant> delivering = new LinkedHashMap<>();

  private long heldBytes;

  private record TeamKey(String team, String key) {}

  void add(ActiveRequest active) {
    Invariants.check(!byId.containsKey(active.id()), "request ids are unique");
    byId.put(active.id(), active);
    activeKeys.add(new TeamKey(active.team, active.key()));
    checkQueue.add(active);
  }

  void remove(ActiveRequest active) {
    Invariants.check(active.running.isEmpty(), "no attempt outlives its request");
    byId.remove(active.id());
    activeKeys.remove(new TeamKey(active.team, active.key()));
    checkQueue.remove(active);
    clearAnswer(active);
  }

  /** Returns all active requests. */
  Collection<ActiveRequest> all() {
    return byId.values();
  }

  @Nullable ActiveRequest find(String requestId) {
    return byId.get(requestId);
  }

  @Nullable ActiveRequest findByAttempt(String attemptId) {
    return byAttempt.get(attemptId);
  }

  boolean isKeyActive(String team, String key) {
    return activeKeys.contains(new TeamKey(team, key));
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

  /** Schedules the next check of a request at a time, unless an earlier one is scheduled. */
  void scheduleCheck(ActiveRequest active, Instant at) {
    if (at.isBefore(active.nextCheckAt)) {
      reschedule(active, at);
    }
  }

  /**
   * Returns the next request whose check is due, or null if there is none, and reschedules that
   * request for its effective deadline at the latest.
   */
  @Nullable ActiveRequest nextDue(Instant now) {
    if (checkQueue.isEmpty() || checkQueue.first().nextCheckAt.isAfter(now)) {
      return null;
    }
    ActiveRequest due = checkQueue.first();
    reschedule(due, nextCheck(due, now));
    return due;
  }

  private static Instant nextCheck(ActiveRequest active, Instant now) {
    if (active.effectiveDeadline().isAfter(now)) {
      return active.effectiveDeadline();
    }
    Instant deadline = active.request.deadline();
    return deadline.isAfter(now) ? deadline : Instant.MAX;
  }

  private void reschedule(ActiveRequest active, Instant at) {
    checkQueue.remove(active);
    active.nextCheckAt = at;
    checkQueue.add(active);
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

  /** Drops unconfirmed deliveries that started before a time, and returns how many. */
  int expireDeliveries(Instant before) {
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
