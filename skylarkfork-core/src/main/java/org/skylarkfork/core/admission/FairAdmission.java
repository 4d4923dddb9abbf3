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

  private static final long LEAST_RETRY_MILLIS = 100;
  private static final double MILLIS = 1000;
  private static final Verdict ADMITTED = new Verdict(Decision.ADMITTED, null);
  private static final Verdict WAITING = new Verdict(Decision.WAITING, null);

  private final LaneCapacity capacity;
  private final LimitShares shares;
  private final AdmissionSettings settings;
  private final Map<Lane, LaneQueue> lanes = new TreeMap<>(Comparator.comparing(Lane::service));
  private final Map<String, TeamUsage> usages = new HashMap<>();
  private final Map<String, Waiter> waiting = new HashMap<>();
  private final Map<String, Running> running = new HashMap<>();
  private final TreeSet<Waiter> byDeadline =
      new TreeSet<>(Comparator.comparing(Waiter::deadline).thenComparingLong(Waiter::sequence));
  private final List<AdmissionEvent> raised = new ArrayList<>();
  private long sequence;

  /** Whether a place or a waiter came since the queues were looked at. */
  private boolean changed;

  private record Running(Waiter request, Instant since) {}

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
  public Verdict submit(CallerRequest request, Team team, int priority, Instant now) {
    Waiter newcomer = waiter(request, team, priority);
    usage(team, now).recordSubmission(newcomer.cost());
    LaneQueue lane = lanes.computeIfAbsent(newcomer.lane(), key -> new LaneQueue());
    boolean first = lane.waitingOf(team.name()) == 0;
    if (first
        && lane.running() < capacity.capacity(newcomer.lane(), now)
        && mayStart(newcomer, now)) {
      start(newcomer, lane, now);
      return ADMITTED;
    }
    RoutingError error = refusal(newcomer, lane, now);
    if (error != null) {
      return new Verdict(Decision.REFUSED, error);
    }
    lane.add(newcomer);
    waiting.put(newcomer.requestId(), newcomer);
    byDeadline.add(newcomer);
    changed = true;
    return WAITING;
  }

  private Waiter waiter(CallerRequest request, Team team, int priority) {
    long tokens = (long) request.promptTokens() + request.maxTokens();
    long cost = request.kind().isDraft() ? Math.max(1, tokens) : 1;
    return new Waiter(
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

  private boolean mayStart(Waiter waiter, Instant now) {
    boolean lookup = !waiter.lane().equals(Lane.DRAFTS);
    return usage(waiter.team(), now).mayStart(waiter.cost(), lookup, now);
  }

  private void start(Waiter waiter, LaneQueue lane, Instant now) {
    lane.started(waiter.team().name(), waiter.team().weight(), waiter.cost());
    usage(waiter.team(), now).recordStart(waiter.cost(), now);
    running.put(waiter.requestId(), new Running(waiter, now));
  }

  /** Returns why a newcomer may not even wait, or null if it may. */
  private @Nullable RoutingError refusal(Waiter newcomer, LaneQueue lane, Instant now) {
    double byTeam =
        usage(newcomer.team(), now)
            .secondsUntil(lane.aheadInTeam(newcomer), newcomer.cost(), lane.serviceSeconds(), now);
    double byLane = laneSeconds(newcomer, lane, now);
    double wait = Math.max(byTeam, byLane);
    double patience = Duration.between(now, newcomer.deadline()).toMillis() / MILLIS;
    // What must wait beyond its deadline is refused now: later it would have cost its caller the
    // time and the queue the place, and the end would be the same.
    if (wait + lane.serviceSeconds() / 2 > patience) {
      return byTeam > byLane
          ? overLimit(newcomer, byTeam - patience + lane.serviceSeconds())
          : tooLate(newcomer, byLane - patience + lane.serviceSeconds());
    }
    return makeRoom(newcomer, lane, wait);
  }

  private double laneSeconds(Waiter newcomer, LaneQueue lane, Instant now) {
    int slots = capacity.capacity(newcomer.lane(), now);
    if (lane.running() < slots) {
      return 0;
    }
    return (lane.aheadInLane(newcomer) + 1) * lane.serviceSeconds() / slots;
  }

  /**
   * Makes room for a newcomer in bounded queues, or returns why there is none.
   *
   * <p>If refusal went by arrival, a large team that came first would fill the queue and every
   * small team would be refused for the whole burst. So the last one of the team that waits most
   * for its weight has to go.
   */
  private @Nullable RoutingError makeRoom(Waiter newcomer, LaneQueue lane, double wait) {
    Waiter last = null;
    if (lane.waitingOf(newcomer.team().name()) >= settings.maxWaitingPerTeam()) {
      last = lane.lastOf(newcomer.team().name());
    } else if (waiting.size() >= settings.maxWaiting()) {
      last = longestLane().lastOfLongest();
    } else {
      return null;
    }
    boolean same = last == null || last.team().name().equals(newcomer.team().name());
    boolean better = last != null && (!same || Waiter.ORDER.compare(newcomer, last) < 0);
    if (!better) {
      return overLimit(newcomer, wait);
    }
    forget(last);
    raised.add(new AdmissionEvent.WaitRefused(last.requestId(), overLimit(last, wait)));
    return null;
  }

  private LaneQueue longestLane() {
    return lanes.values().stream().max(Comparator.comparingInt(LaneQueue::waiting)).orElseThrow();
  }

  private static RoutingError overLimit(Waiter waiter, double seconds) {
    return RoutingError.notRunRetry(
        ErrorKind.OVER_LIMIT,
        "Team "
            + waiter.team().name()
            + " has more requests at this entry than its share."
            + " Send it again after the stated time, or ask your operator for a higher limit.",
        retryMillis(seconds));
  }

  private static RoutingError tooLate(Waiter waiter, double seconds) {
    return RoutingError.notRunRetry(
        ErrorKind.NO_CAPACITY,
        "The queue for "
            + waiter.lane()
            + " is longer than the deadline allows."
            + " Send it again after the stated time, or with a later deadline.",
        retryMillis(seconds));
  }

  private static long retryMillis(double seconds) {
    return Math.max(LEAST_RETRY_MILLIS, Math.round(seconds * MILLIS));
  }

  private void forget(Waiter waiter) {
    waiting.remove(waiter.requestId());
    byDeadline.remove(waiter);
    lanes.get(waiter.lane()).remove(waiter);
  }

  @Override
  public void release(String requestId, long tokens, Instant now) {
    Waiter waiter = waiting.get(requestId);
    if (waiter != null) {
      forget(waiter);
      return;
    }
    changed = true;
    Running ended = running.remove(requestId);
    if (ended != null) {
      Waiter request = ended.request;
      boolean wasRun = tokens > 0 || !request.lane().equals(Lane.DRAFTS);
      lanes.get(request.lane()).ended(Duration.between(ended.since, now), wasRun);
      usage(request.team(), now).recordEnd(request.cost(), tokens, now);
    }
  }

  @Override
  public void apply(Event event, Instant now, Output output) {
    expire(now);
    // Tokens stream in by the thousand, and none of them gives a place back.
    if (changed || event instanceof LifecycleEvent.Tick) {
      changed = false;
      lanes.forEach((key, lane) -> drain(key, lane, now));
    }
    raised.forEach(output::raise);
    raised.clear();
    if (event instanceof LifecycleEvent.Tick) {
      output.effect(new TraceEffect.Observe("admission_waiting", "", waiting.size()));
    }
  }

  private void expire(Instant now) {
    while (!byDeadline.isEmpty() && !byDeadline.first().deadline().isAfter(now)) {
      Waiter late = byDeadline.first();
      forget(late);
      RoutingError error =
          RoutingError.notRun(
              ErrorKind.DEADLINE,
              "The deadline passed while the request waited. Send it with a later deadline.");
      raised.add(new AdmissionEvent.WaitRefused(late.requestId(), error));
    }
  }

  /** Starts waiters of a lane while it has room and their teams' limits let them. */
  private void drain(Lane key, LaneQueue lane, Instant now) {
    while (lane.waiting() > 0 && lane.running() < capacity.capacity(key, now)) {
      Optional<Waiter> next = lane.next(waiter -> mayStart(waiter, now));
      if (next.isEmpty()) {
        return;
      }
      forget(next.get());
      start(next.get(), lane, now);
      raised.add(new AdmissionEvent.Admitted(next.get().requestId()));
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
