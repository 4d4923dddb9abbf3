package org.skylarkfork.core.admission;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/**
 * The waiting requests of one lane, shared fairly between teams by weight.
 *
 * <p>Each team has a virtual time at which its next request is due; a start moves it on by the
 * request's cost divided by the team's weight. The team that is due first goes first, so that a
 * team with a thousand waiting requests delays one with ten by no more than its weight allows. A
 * team that was idle starts at the present virtual time and saves up nothing.
 */
final class LaneQueue {

  private static final double SMOOTHING = 0.1;
  private static final double NANOS = 1e9;

  private final Map<String, TeamQueue> teams = new HashMap<>();
  private final TreeSet<TeamQueue> due =
      new TreeSet<>(
          Comparator.comparingDouble((TeamQueue queue) -> queue.dueAt)
              .thenComparing(queue -> queue.team));

  private double virtualTime;
  private int waiting;
  private int running;

  /** Mean time that a request runs, in seconds, or 0 while unknown. */
  private double serviceSeconds;

  private static final class TeamQueue {
    final String team;
    final TreeSet<Waiter> waiters = new TreeSet<>(Waiter.ORDER);
    double dueAt;
    int weight = 1;

    TeamQueue(String team) {
      this.team = team;
    }
  }

  void add(Waiter waiter) {
    TeamQueue queue = teams.computeIfAbsent(waiter.team().name(), TeamQueue::new);
    if (queue.waiters.isEmpty()) {
      queue.dueAt = Math.max(queue.dueAt, virtualTime);
      due.add(queue);
    }
    queue.weight = Math.max(1, waiter.team().weight());
    queue.waiters.add(waiter);
    waiting++;
  }

  /** Takes a waiter out without starting it. */
  void remove(Waiter waiter) {
    TeamQueue queue = teams.get(waiter.team().name());
    if (queue != null && queue.waiters.remove(waiter)) {
      waiting--;
      if (queue.waiters.isEmpty()) {
        due.remove(queue);
      }
    }
  }

  /** Returns the next waiter that may start, by fair shares. */
  Optional<Waiter> next(Predicate<Waiter> mayStart) {
    for (TeamQueue queue : due) {
      Waiter first = queue.waiters.first();
      if (mayStart.test(first)) {
        return Optional.of(first);
      }
    }
    return Optional.empty();
  }

  /** Takes note that a request starts, one that waited or one that needn't. */
  void started(String team, int weight, long cost) {
    running++;
    TeamQueue queue = teams.computeIfAbsent(team, TeamQueue::new);
    final boolean queued = due.remove(queue);
    queue.dueAt = Math.max(queue.dueAt, virtualTime);
    virtualTime = queue.dueAt;
    queue.dueAt += (double) cost / Math.max(1, weight);
    if (queued) {
      due.add(queue);
    }
  }

  /** Takes note that a request ended after a time; one that was never run tells no time. */
  void ended(Duration ran, boolean wasRun) {
    running--;
    if (!wasRun) {
      return;
    }
    double seconds = ran.toNanos() / NANOS;
    serviceSeconds =
        serviceSeconds == 0 ? seconds : serviceSeconds + SMOOTHING * (seconds - serviceSeconds);
  }

  int running() {
    return running;
  }

  int waiting() {
    return waiting;
  }

  double serviceSeconds() {
    return serviceSeconds;
  }

  int waitingOf(String team) {
    TeamQueue queue = teams.get(team);
    return queue == null ? 0 : queue.waiters.size();
  }

  /** Returns how many of its own team wait before a newcomer. */
  int aheadInTeam(Waiter newcomer) {
    TeamQueue queue = teams.get(newcomer.team().name());
    return queue == null ? 0 : queue.waiters.headSet(newcomer).size();
  }

  /** Returns how many requests start before a newcomer, at fair shares. */
  double aheadInLane(Waiter newcomer) {
    int weight = Math.max(1, newcomer.team().weight());
    int active = weight;
    for (TeamQueue queue : due) {
      if (!queue.team.equals(newcomer.team().name())) {
        active += queue.weight;
      }
    }
    return Math.min(waiting, (double) aheadInTeam(newcomer) * active / weight);
  }

  /** Returns the last waiter of the team that waits most for its weight, or null if none waits. */
  @Nullable Waiter lastOfLongest() {
    TeamQueue longest = null;
    for (TeamQueue queue : due) {
      if (longest == null || length(queue) > length(longest)) {
        longest = queue;
      }
    }
    return longest == null ? null : longest.waiters.last();
  }

  private static double length(TeamQueue queue) {
    return (double) queue.waiters.size() / queue.weight;
  }

  /** Returns the last waiter of a team, or null if it has none. */
  @Nullable Waiter lastOf(String team) {
    TeamQueue queue = teams.get(team);
    return queue == null || queue.waiters.isEmpty() ? null : queue.waiters.last();
  }
}
