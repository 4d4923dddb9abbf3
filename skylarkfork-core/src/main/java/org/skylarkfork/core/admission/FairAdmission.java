package org.skylarkfork.core.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.Part;
import org.skylarkfork.core.configuration.Team;
import org.skylarkfork.core.effect.TraceEffect;
import org.skylarkfork.core.error.ErrorKind;
import org.skylarkfork.core.error.RoutingError;
import org.skylarkfork.core.event.AdmissionEvent;
import org.skylarkfork.core.event.Event;
import org.skylarkfork.core.event.LifecycleEvent;
import org.skylarkfork.core.request.CallerRequest;

/**
 * Admission with limits for each team, a bounded queue for each lane and early refusal.
 *
 * <p>It stands behind the request part in the reducer: what a request gives back goes to the next
 * one within the same event.
 */
public final class FairAdmission implements Admission, Part {

  private static final long MIN_RETRY_MILLIS = 100;
  private static final double MILLIS_PER_SECOND = 1000;
  private static final Result ADMITTED = new Result(Decision.ADMITTED, null);
  private static final Result WAITING = new Result(Decision.WAITING, null);

  private final LaneCapacity capacity;
  private final LimitShares shares;
  private final AdmissionSettings settings;
  private final Map<Lane, LaneQueue> lanes = new TreeMap<>(Comparator.comparing(Lane::service));
  private final Map<String, TeamUsage> usages = new HashMap<>();
  private final Map<String, QueuedRequest> waiting = new HashMap<>();
  private final Map<String, RunningRequest> running = new HashMap<>();
  private final TreeSet<QueuedRequest> byDeadline =
      new TreeSet<>(
          Comparator.comparing(QueuedRequest::deadline).thenComparingLong(QueuedRequest::sequence));
  private final List<AdmissionEvent> pendingEvents = new ArrayList<>();
  private long sequence;

  /** Whether a place or a waiter came since the queues were looked at. */
  private boolean drainNeeded;

  private record RunningRequest(QueuedRequest request, Instant startedAt) {}

  /**
   * Makes an admission.
   *
   * @param capacity how many requests run at the same time
   * @param shares this entry's share of the teams' limits
   * @param settings bounds of the queues
   */
  public FairAdmission(LaneCapacity capacity, LimitShares shares, AdmissionSettings settings) {
    this.capacity = capacity;
    this.shares = shares;
    this.settings = settings;
  }

  @Override
  public Result submit(CallerRequest request, Team team, int priority, Instant now) {
    QueuedRequest incoming = queuedRequest(request, team, priority);
    usage(team, now).recordSubmission(incoming.cost());
    LaneQueue lane = lanes.computeIfAbsent(incoming.lane(), key -> new LaneQueue());
    boolean noneAhead = lane.waitingOf(team.name()) == 0;
    if (noneAhead
        && lane.running() < capacity.capacity(incoming.lane(), now)
        && mayStart(incoming, now)) {
      start(incoming, lane, now);
      return ADMITTED;
    }
    RoutingError error = refusal(incoming, lane, now);
    if (error != null) {
      return new Result(Decision.REFUSED, error);
    }
    lane.add(incoming);
    waiting.put(incoming.requestId(), incoming);
    byDeadline.add(incoming);
    drainNeeded = true;
    return WAITING;
  }

  private QueuedRequest queuedRequest(CallerRequest request, Team team, int priority) {
    long tokens = (long) request.promptTokens() + request.maxTokens();
    long cost = request.kind().isDraft() ? Math.max(1, tokens) : 1;
    return new QueuedRequest(
        request.requestId(),
        Lane.of(request),
        team,
        priority,
        request.deadline(),
        cost,
        sequence++);
  }

  private TeamUsage usage(Team team, Instant now) {
    TeamUsage usage = usages.computeIfAbsent(team.name(), name -> new TeamUsage());
    usage.applyShare(shares.share(team, now), now);
    return usage;
  }

  private boolean mayStart(QueuedRequest queued, Instant now) {
    boolean lookup = !queued.lane().equals(Lane.DRAFTS);
    return usage(queued.team(), now).mayStart(queued.cost(), lookup, now);
  }

  private void start(QueuedRequest queued, LaneQueue lane, Instant now) {
    lane.recordStart(queued.team().name(), queued.team().weight(), queued.cost());
    usage(queued.team(), now).recordStart(queued.cost(), now);
    running.put(queued.requestId(), new RunningRequest(queued, now));
  }

  /** Returns why a newcomer may not even wait, or null if it may. */
  private @Nullable RoutingError refusal(QueuedRequest incoming, LaneQueue lane, Instant now) {
    double teamWait =
        usage(incoming.team(), now)
            .secondsUntil(
                lane.aheadInTeam(incoming), incoming.cost(), lane.meanServiceSeconds(), now);
    double laneWait = laneWaitSeconds(incoming, lane, now);
    double wait = Math.max(teamWait, laneWait);
    double secondsToDeadline =
        Duration.between(now, incoming.deadline()).toMillis() / MILLIS_PER_SECOND;
    // What must wait beyond its deadline is refused now: later it would have cost its caller the
    // time and the queue the place, and the end would be the same.
    if (wait + lane.meanServiceSeconds() / 2 > secondsToDeadline) {
      return teamWait > laneWait
          ? overLimit(incoming, teamWait - secondsToDeadline + lane.meanServiceSeconds())
          : tooLate(incoming, laneWait - secondsToDeadline + lane.meanServiceSeconds());
    }
    return evictOrRefuse(incoming, lane, wait);
  }

  private double laneWaitSeconds(QueuedRequest incoming, LaneQueue lane, Instant now) {
    int slots = capacity.capacity(incoming.lane(), now);
    if (lane.running() < slots) {
      return 0;
    }
    return (lane.aheadInLane(incoming) + 1) * lane.meanServiceSeconds() / slots;
  }

  /**
   * Makes room for a newcomer in bounded queues, or returns why there is none.
   *
   * <p>If refusal went by arrival, a large team that came first would fill the queue and every
   * small team would be refused for the whole burst. So the last one of the team that waits most
   * for its weight has to go.
   */
  private @Nullable RoutingError evictOrRefuse(
      QueuedRequest incoming, LaneQueue lane, double wait) {
    QueuedRequest victim = null;
    if (lane.waitingOf(incoming.team().name()) >= settings.maxWaitingPerTeam()) {
      victim = lane.lastOf(incoming.team().name());
    } else if (waiting.size() >= settings.maxWaiting()) {
      victim = longestLane().lastOfLongest();
    } else {
      return null;
    }
    boolean sameTeam = victim == null || victim.team().name().equals(incoming.team().name());
    boolean mayEvict =
        victim != null && (!sameTeam || QueuedRequest.ORDER.compare(incoming, victim) < 0);
    if (!mayEvict) {
      return overLimit(incoming, wait);
    }
    dequeue(victim);
    pendingEvents.add(new AdmissionEvent.WaitRefused(victim.requestId(), overLimit(victim, wait)));
    return null;
  }

  private LaneQueue longestLane() {
    return lanes.values().stream().max(Comparator.comparingInt(LaneQueue::waiting)).orElseThrow();
  }

  private static RoutingError overLimit(QueuedRequest queued, double seconds) {
    return RoutingError.notRunRetry(
        ErrorKind.OVER_LIMIT,
        "Team "
            + queued.team().name()
            + " has more requests at this entry than its share."
            + " Send it again after the stated time, or ask your operator for a higher limit.",
        retryMillis(seconds));
  }

  private static RoutingError tooLate(QueuedRequest queued, double seconds) {
    return RoutingError.notRunRetry(
        ErrorKind.NO_CAPACITY,
        "The queue for "
            + queued.lane()
            + " is longer than the deadline allows."
            + " Send it again after the stated time, or with a later deadline.",
        retryMillis(seconds));
  }

  private static long retryMillis(double seconds) {
    return Math.max(MIN_RETRY_MILLIS, Math.round(seconds * MILLIS_PER_SECOND));
  }

  private void dequeue(QueuedRequest queued) {
    waiting.remove(queued.requestId());
    byDeadline.remove(queued);
    lanes.get(queued.lane()).remove(queued);
  }

  @Override
  public void release(String requestId, long tokens, Instant now) {
    QueuedRequest queued = waiting.get(requestId);
    if (queued != null) {
      dequeue(queued);
      return;
    }
    drainNeeded = true;
    RunningRequest finished = running.remove(requestId);
    if (finished != null) {
      QueuedRequest request = finished.request;
      boolean wasRun = tokens > 0 || !request.lane().equals(Lane.DRAFTS);
      lanes.get(request.lane()).recordEnd(Duration.between(finished.startedAt, now), wasRun);
      usage(request.team(), now).recordEnd(request.cost(), tokens, now);
    }
  }

  @Override
  public void apply(Event event, Instant now, Output output) {
    refuseExpired(now);
    // Tokens stream in by the thousand, and none of them gives a place back.
    if (drainNeeded || event instanceof LifecycleEvent.Tick) {
      drainNeeded = false;
      lanes.forEach((key, lane) -> drain(key, lane, now));
    }
    pendingEvents.forEach(output::raise);
    pendingEvents.clear();
    if (event instanceof LifecycleEvent.Tick) {
      output.effect(new TraceEffect.Observe("admission_waiting", "", waiting.size()));
    }
  }

  private void refuseExpired(Instant now) {
    while (!byDeadline.isEmpty() && !byDeadline.first().deadline().isAfter(now)) {
      QueuedRequest expired = byDeadline.first();
      dequeue(expired);
      RoutingError error =
          RoutingError.notRun(
              ErrorKind.DEADLINE,
              "The deadline passed while the request waited. Send it with a later deadline.");
      pendingEvents.add(new AdmissionEvent.WaitRefused(expired.requestId(), error));
    }
  }

  /** Starts waiters of a lane while it has room and their teams' limits let them. */
  private void drain(Lane key, LaneQueue lane, Instant now) {
    while (lane.waiting() > 0 && lane.running() < capacity.capacity(key, now)) {
      Optional<QueuedRequest> next = lane.next(queued -> mayStart(queued, now));
      if (next.isEmpty()) {
        return;
      }
      dequeue(next.get());
      start(next.get(), lane, now);
      pendingEvents.add(new AdmissionEvent.Admitted(next.get().requestId()));
    }
  }

  /** Returns what a team asks of this entry; nothing for one that never asked. */
  public TeamLoad load(String team) {
    TeamUsage usage = usages.get(team);
    if (usage == null) {
      return TeamLoad.NONE;
    }
    return usage.load(lanes.values().stream().mapToInt(lane -> lane.waitingOf(team)).sum());
  }

  /** Returns how many requests wait. */
  public int waiting() {
    return waiting.size();
  }

  /** Returns how many requests hold a place. */
  public int running() {
    return running.size();
  }
}
