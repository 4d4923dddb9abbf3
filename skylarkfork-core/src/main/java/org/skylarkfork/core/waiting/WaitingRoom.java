package org.skylarkfork.core.waiting;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.message.SlotMessage.SlotAsk;
import org.skylarkfork.core.message.SlotMessage.SlotNews;
import org.skylarkfork.core.message.SlotMessage.SlotProgress;
import org.skylarkfork.core.returning.RetryTimes;

/**
 * The shared queue of one service: decides whether a call gets a slot, waits or is refused.
 *
 * <p>A call gets a free slot at once. Without one it waits, unless its expected wait leaves too
 * little of its time for the call itself; then it is refused at once, while its caller still has
 * time to come back.
 */
final class WaitingRoom {

  /** Maximum number of waiting calls. */
  static final int MAX_WAITING = 512;

  /**
   * Time after a call's deadline at which its slot is taken back at the latest, in milliseconds.
   */
  static final long EXPIRY_MILLIS = 1000;

  /**
   * Multiple of the usual duration after which a call counts as lost while others wait. When a
   * third of the entries crashed, the slots of their calls were otherwise unused for two seconds.
   */
  private static final double LOST_DURATIONS = 8;

  /** Shortest time after which a call counts as lost, in milliseconds. */
  private static final double MIN_LOST_MILLIS = 300;

  /**
   * Longest time until a waiting call gets another answer, in milliseconds. Entries learn within it
   * that the scheduler is lost, and each waiting call costs up to five messages a second.
   */
  private static final long MAX_FOLLOW_UP_MILLIS = 200;

  /**
   * Time by which an answer is sent before it is due, in milliseconds: one tick of an entry and the
   * transfer. Without it, each follow-up that is due just after a tick comes too late.
   */
  private static final long EARLY_MILLIS = 60;

  /**
   * Highest share of the capacity that a late call's estimate assumes for calls that arrive after
   * it. With 0.9, a load of 1.04 times the capacity led to the refusal of two calls in five, which
   * the drop after a burst would have served.
   */
  private static final double MAX_URGENT_SHARE = 0.75;

  /** Share of a caller's time that is left after the longest retry delay. */
  private static final double MAX_DELAY_REST = 2.0 / 3;

  private static final double MILLIS_PER_SECOND = 1000;

  private final RetryTimes retryTimes;
  private final SlotPool pool = new SlotPool();
  private final Map<SlotCall.Id, SlotCall> calls = new LinkedHashMap<>();
  private final List<SlotCall> waiting = new ArrayList<>();
  private final Map<String, TeamLoad> teams = new HashMap<>();
  private final ReturningCalls returningCalls = new ReturningCalls();
  private final ArrivalRates arrivals = new ArrivalRates();

  WaitingRoom(RetryTimes retryTimes) {
    this.retryTimes = retryTimes;
  }

  /** Returns the number of calls that wait for a slot. */
  int waiting() {
    return waiting.size();
  }

  /** Returns the number of calls that hold a slot. */
  int running() {
    return pool.running();
  }

  /** Returns whether a call waits here or holds a slot. */
  boolean holds(SlotCall.Id id) {
    return calls.containsKey(id);
  }

  boolean isIdle() {
    return calls.isEmpty() && returningCalls.size() == 0;
  }

  void refresh(List<SlotUpstream> present) {
    pool.refresh(present);
  }

  /** Decides on a call; an ask that arrives twice is ignored. */
  void ask(SlotCall.Id id, SlotAsk ask, Instant now, SlotDecisions decisions) {
    if (calls.containsKey(id)) {
      return;
    }
    dispatch(now, decisions);
    boolean returning = returningCalls.claim(ask.team(), ask.contentKey(), now.toEpochMilli());
    TeamLoad team = teams.computeIfAbsent(ask.team(), TeamLoad::new);
    if (!returning) {
      arrivals.record(ask.rank(), now);
      team.arrivals.record(ask.rank(), now);
    }
    SlotCall call = new SlotCall(id, ask, team, returning, now);
    decide(call, now, decisions);
    forgetIfIdle(team);
  }

  private void decide(SlotCall call, Instant now, SlotDecisions decisions) {
    if (pool.candidates(call.ask, now).isEmpty()) {
      decisions.unknown(call);
      return;
    }
    PooledUpstream free = pool.free(call.ask, now);
    if (free != null && call.leftMillis(now) > 0) {
      calls.put(call.id, call);
      pool.grant(call, free, now);
      decisions.granted(call, free);
      return;
    }
    if (refuseIfHopeless(call, now, decisions)) {
      return;
    }
    enqueue(call);
    if (waiting.size() > MAX_WAITING) {
      SlotCall last = last(now);
      remove(last);
      refuse(last, now, decisions);
    }
    if (calls.containsKey(call.id)) {
      announce(call, now, decisions);
    }
  }

  private void enqueue(SlotCall call) {
    calls.put(call.id, call);
    waiting.add(call);
    call.team.waiting++;
    teams.putIfAbsent(call.team.name, call.team);
  }

  private void remove(SlotCall call) {
    calls.remove(call.id);
    if (call.upstream == null && waiting.remove(call)) {
      call.team.waiting--;
    }
    pool.release(call);
    forgetIfIdle(call.team);
  }

  private void forgetIfIdle(TeamLoad team) {
    if (team.isIdle()) {
      teams.remove(team.name, team);
    }
  }

  private SlotCall last(Instant now) {
    CallOrder order = order(now);
    SlotCall last = waiting.get(0);
    for (SlotCall call : waiting) {
      last = order.compare(call, last) > 0 ? call : last;
    }
    return last;
  }

  private CallOrder order(Instant now) {
    return new CallOrder(now.toEpochMilli(), pool.safeMillis(now));
  }

  private void announce(SlotCall call, Instant now, SlotDecisions decisions) {
    long wait = Math.min(MAX_FOLLOW_UP_MILLIS, Math.round(drainMillis(call, now)) + EARLY_MILLIS);
    call.followUpMillis = now.toEpochMilli() + wait;
    decisions.queued(call, wait);
  }

  private void refuse(SlotCall call, Instant now, SlotDecisions decisions) {
    refuse(call, retryDelay(call, now), now, decisions);
  }

  private void refuse(SlotCall call, long delay, Instant now, SlotDecisions decisions) {
    if (delay > 0) {
      returningCalls.rememberRefused(call, now.toEpochMilli() + delay);
    }
    decisions.refused(call, Math.round(drainMillis(call, now)), delay);
  }

  /** Returns the retry delay, or 0 if the caller would have too little time after it. */
  private long retryDelay(SlotCall call, Instant now) {
    long left = call.leftMillis(now);
    long wait = Math.round(drainMillis(call, now));
    boolean hasTime = left * MAX_DELAY_REST >= pool.safeMillis(now);
    return hasTime ? retryTimes.delayMillis(wait, call.ask.rank(), left, now) : 0;
  }

  /**
   * Refuses a call that doesn't wait in the queue and can't begin early enough to end before its
   * deadline; returns whether it was refused.
   *
   * <p>A call that could begin only if fewer others arrive than of late, or if a spike ends, is
   * refused if its caller can be given a retry time. If not, the caller has no better chance than
   * to wait.
   */
  private boolean refuseIfHopeless(SlotCall call, Instant now, SlotDecisions decisions) {
    double latestBegin = call.leftMillis(now) - pool.durationMillis(now);
    if (waitMillis(call, now) <= latestBegin) {
      return false;
    }
    boolean isCertain = leastWaitMillis(call, now) > call.leftMillis(now) - pool.usualMillis();
    long delay = retryDelay(call, now);
    if (isCertain || delay > 0) {
      refuse(call, delay, now, decisions);
      return true;
    }
    return false;
  }

  /**
   * Returns the expected wait of a call, in milliseconds. While a call can meet its objective, only
   * the calls before it count. Later, calls that arrive after it go first, and it waits for the
   * capacity that they leave.
   */
  private double waitMillis(SlotCall call, Instant now) {
    double drain = drainMillis(call, now);
    double duration = pool.durationMillis(now);
    if (now.toEpochMilli() + drain + pool.safeMillis(now) <= call.objectiveMillis) {
      return drain;
    }
    double served = capacity(call, now) * MILLIS_PER_SECOND / duration;
    double urgent = arrivals.before(call.ask.rank(), now) / served;
    double ofTeam = call.returning ? 0 : call.team.arrivals.at(call.ask.rank(), now);
    urgent += ofTeam * Math.max(1, waitingTeams()) / served;
    return drain / (1 - Math.min(MAX_URGENT_SHARE, urgent));
  }

  /** Returns the wait of a call if all slots are available and calls are fast, in milliseconds. */
  private double leastWaitMillis(SlotCall call, Instant now) {
    int slots = pool.candidates(call.ask, now).stream().mapToInt(one -> one.status().slots()).sum();
    return (order(now).ahead(call, waiting) + 1) * pool.usualMillis() / Math.max(1, slots);
  }

  /** Returns the number of teams with waiting calls, which share the capacity. */
  private long waitingTeams() {
    return teams.values().stream().filter(team -> team.waiting > 0).count();
  }

  /** Returns the time in which the calls that are now before a call get slots, in milliseconds. */
  private double drainMillis(SlotCall call, Instant now) {
    List<PooledUpstream> candidates = pool.candidates(call.ask, now);
    long blocked = candidates.stream().mapToLong(one -> one.fullMillis(now)).min().orElse(0);
    double interval = pool.durationMillis(now) / Math.max(1, capacity(call, now));
    int ahead = order(now).ahead(call, waiting);
    double drain = blocked + (ahead + 1) * interval;
    if (call.returning) {
      return drain;
    }
    long nowMillis = now.toEpochMilli();
    long until = nowMillis + (long) drain;
    return drain
        + returningCalls.expected(call.ask.team(), call.ask.rank(), nowMillis, until) * interval;
  }

  private int capacity(SlotCall call, Instant now) {
    return pool.candidates(call.ask, now).stream().mapToInt(PooledUpstream::limit).sum();
  }

  /** Processes a report on a call; reports on unknown calls are ignored. */
  void report(SlotCall.Id id, SlotNews news, Instant now, SlotDecisions decisions) {
    SlotCall call = calls.get(id);
    if (call == null) {
      return;
    }
    PooledUpstream upstream = call.upstream;
    remove(call);
    if (upstream == null) {
      decisions.left(call, news.progress());
    } else {
      int before = upstream.limit();
      pool.recordEnd(call, upstream, news, now);
      if (upstream.limit() != before) {
        decisions.limitChanged(upstream, before);
      }
      recordOutcome(call, news.progress(), now);
    }
    dispatch(now, decisions);
  }

  private void recordOutcome(SlotCall call, SlotProgress progress, Instant now) {
    if (progress == SlotProgress.ENDED) {
      retryTimes.recordEnd(now);
    } else if (progress != SlotProgress.CANCELLED) {
      returningCalls.rememberFailed(call, now.toEpochMilli());
    }
  }

  /** Gives free slots to waiting calls. */
  private void dispatch(Instant now, SlotDecisions decisions) {
    while (!waiting.isEmpty() && pool.hasFreeSlot(now)) {
      SlotCall next = next(now);
      if (next == null) {
        return;
      }
      PooledUpstream upstream = pool.free(next.ask, now);
      if (upstream == null || isOverdue(next, now)) {
        remove(next);
        refuse(next, now, decisions);
        continue;
      }
      waiting.remove(next);
      next.team.waiting--;
      pool.grant(next, upstream, now);
      decisions.granted(next, upstream);
    }
  }

  private @Nullable SlotCall next(Instant now) {
    CallOrder order = order(now);
    SlotCall best = null;
    for (SlotCall call : waiting) {
      boolean isBetter = best == null || order.compare(call, best) < 0;
      if (isBetter && pool.free(call.ask, now) != null) {
        best = call;
      }
    }
    return best;
  }

  /** Returns whether a call's remaining time doesn't cover the usual duration of a call. */
  private boolean isOverdue(SlotCall call, Instant now) {
    return call.leftMillis(now) < pool.usualMillis();
  }

  /** Expires calls, gives free slots to waiting ones and renews answers that become due. */
  void tick(Instant now, SlotDecisions decisions) {
    long nowMillis = now.toEpochMilli();
    returningCalls.removeExpired(nowMillis);
    double lostMillis =
        waiting.isEmpty()
            ? Double.MAX_VALUE
            : Math.max(MIN_LOST_MILLIS, LOST_DURATIONS * pool.durationMillis(now));
    for (SlotCall call : List.copyOf(calls.values())) {
      boolean isExpired =
          nowMillis >= call.deadlineMillis + EXPIRY_MILLIS
              || nowMillis - call.grantedMillis > lostMillis;
      if (call.upstream != null && isExpired) {
        remove(call);
      }
    }
    dispatch(now, decisions);
    for (SlotCall call : List.copyOf(waiting)) {
      if (pool.candidates(call.ask, now).isEmpty()) {
        remove(call);
        decisions.unknown(call);
      } else if (isOverdue(call, now)) {
        remove(call);
        refuse(call, now, decisions);
      } else if (call.followUpMillis <= nowMillis + EARLY_MILLIS) {
        renew(call, now, decisions);
      }
    }
  }

  private void renew(SlotCall call, Instant now, SlotDecisions decisions) {
    remove(call);
    if (!refuseIfHopeless(call, now, decisions)) {
      enqueue(call);
      announce(call, now, decisions);
    }
  }
}
