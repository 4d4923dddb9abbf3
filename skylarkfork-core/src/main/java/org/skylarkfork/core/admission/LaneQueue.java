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

  private static final double SMOOTHING_FACTOR = 0.1;
  private static final double NANOS_PER_SECOND = 1e9;

  private final Map<String, TeamQueue> teams = new HashMap<>();
  private final TreeSet<TeamQueue> activeTeams =
      new TreeSet<>(
          Comparator.comparingDouble((TeamQueue queue) -> queue.virtualStart)
              .thenComparing(queue -> queue.team));

  private double virtualTime;
  private int waiting;
  private int running;

  /** Mean time that a request runs, in seconds, or 0 while unknown. */
  private double meanServiceSeconds;

  private static final class TeamQueue {
    final String team;
    final TreeSet<QueuedRequest> requests = new TreeSet<>(QueuedRequest.ORDER);
    double virtualStart;
    int weight = 1;

    TeamQueue(String team) {
      this.team = team;
    }
  }

  void add(QueuedRequest request) {
    TeamQueue queue = teams.computeIfAbsent(request.team().name(), TeamQueue::new);
    if (queue.requests.isEmpty()) {
      queue.virtualStart = Math.max(queue.virtualStart, virtualTime);
      activeTeams.add(queue);
    }
    queue.weight = Math.max(1, request.team().weight());
    queue.requests.add(request);
    waiting++;
  }

  /** Takes a waiter out without starting it. */
  void remove(QueuedRequest request) {
    TeamQueue queue = teams.get(request.team().name());
    if (queue != null && queue.requests.remove(request)) {
      waiting--;
      if (queue.requests.isEmpty()) {
        activeTeams.remove(queue);
      }
    }
  }

  /** Returns the next waiter that may start, by fair shares. */
  Optional<QueuedRequest> next(Predicate<QueuedRequest> mayStart) {
    for (TeamQueue queue : activeTeams) {
      QueuedRequest first = queue.requests.first();
      if (mayStart.test(first)) {
        return Optional.of(first);
      }
    }
    return Optional.empty();
  }

  /** Takes note that a request starts, one that waited or one that needn't. */
  void recordStart(String team, int weight, long cost) {
    running++;
    TeamQueue queue = teams.computeIfAbsent(team, TeamQueue::new);
    final boolean wasActive = activeTeams.remove(queue);
    queue.virtualStart = Math.max(queue.virtualStart, virtualTime);
    virtualTime = queue.virtualStart;
    queue.virtualStart += (double) cost / Math.max(1, weight);
    if (wasActive) {
      activeTeams.add(queue);
    }
  }

  /** Takes note that a request ended after a time; one that was never run tells no time. */
  void recordEnd(Duration runTime, boolean wasRun) {
    running--;
    if (!wasRun) {
      return;
    }
    double seconds = runTime.toNanos() / NANOS_PER_SECOND;
    meanServiceSeconds =
        meanServiceSeconds == 0
            ? seconds
            : meanServiceSeconds + SMOOTHING_FACTOR * (seconds - meanServiceSeconds);
  }

  int running() {
    return running;
  }

  int waiting() {
    return waiting;
  }

  double meanServiceSeconds() {
    return meanServiceSeconds;
  }

  int waitingOf(String team) {
    TeamQueue queue = teams.get(team);
    return queue == null ? 0 : queue.requests.size();
  }

  /** Returns how many of its own team wait before a newcomer. */
  int aheadInTeam(QueuedRequest incoming) {
    TeamQueue queue = teams.get(incoming.team().name());
    return queue == null ? 0 : queue.requests.headSet(incoming).size();
  }

  /** Returns how many requests start before a newcomer, at fair shares. */
  double aheadInLane(QueuedRequest incoming) {
    int weight = Math.max(1, incoming.team().weight());
    int activeWeight = weight;
    for (TeamQueue queue : activeTeams) {
      if (!queue.team.equals(incoming.team().name())) {
        activeWeight += queue.weight;
      }
    }
    return Math.min(waiting, (double) aheadInTeam(incoming) * activeWeight / weight);
  }

  /** Returns the last waiter of the team that waits most for its weight, or null if none waits. */
  @Nullable QueuedRequest lastOfLongest() {
    TeamQueue longest = null;
    for (TeamQueue queue : activeTeams) {
      if (longest == null || weightedLength(queue) > weightedLength(longest)) {
        longest = queue;
      }
    }
    return longest == null ? null : longest.requests.last();
  }

  private static double weightedLength(TeamQueue queue) {
    return (double) queue.requests.size() / queue.weight;
  }

  /** Returns the last waiter of a team, or null if it has none. */
  @Nullable QueuedRequest lastOf(String team) {
    TeamQueue queue = teams.get(team);
    return queue == null || queue.requests.isEmpty() ? null : queue.requests.last();
  }
}
