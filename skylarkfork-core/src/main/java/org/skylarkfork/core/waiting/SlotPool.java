package org.skylarkfork.core.waiting;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.message.SlotMessage.SlotAsk;
import org.skylarkfork.core.message.SlotMessage.SlotNews;

/** The slots of one service's upstreams, and the recent duration of its calls. */
final class SlotPool {

  /** Duration of a call that is assumed before the first one ends, in milliseconds. */
  private static final double INITIAL_MILLIS = 40;

  /** Weight of the newest call in the mean duration, so that a spike of 600 ms is visible. */
  private static final double SMOOTHING = 0.125;

  /** Weight of the newest call in the usual duration, which a spike of 600 ms hardly changes. */
  private static final double USUAL_SMOOTHING = 0.005;

  /** Cost of sending to another zone, as milliseconds of duration; the same as for other calls. */
  private static final double OTHER_ZONE_MILLIS = 12;

  /** Cost of a fully used upstream, in milliseconds; only spreads calls over equal upstreams. */
  private static final double LOAD_MILLIS = 4;

  /** Cost of waiting at an upstream, in milliseconds; any free slot is used before. */
  private static final double SPARE_MILLIS = 1_000_000;

  private final Map<String, PooledUpstream> upstreams = new LinkedHashMap<>();
  private double durationMillis = INITIAL_MILLIS;
  private double usualMillis = INITIAL_MILLIS;
  private double deviationMillis = INITIAL_MILLIS / 4;
  private Instant movedAt = Instant.EPOCH;
  private int running;

  /** The newest result of {@link #candidates}, or null if an upstream has changed since. */
  private @Nullable Candidates newest;

  /** The upstreams that may receive calls with the same versions and exclusions at one time. */
  private record Candidates(
      List<String> versions, List<String> excluded, Instant at, List<PooledUpstream> upstreams) {

    private boolean isFor(SlotAsk ask, Instant now) {
      return at.equals(now) && versions.equals(ask.versions()) && excluded.equals(ask.excluded());
    }
  }

  /** Updates the upstreams from the directory; the calls of those that are gone keep running. */
  void refresh(List<SlotUpstream> present) {
    if (present.size() != upstreams.size() || !isUnchanged(present)) {
      newest = null;
      Map<String, PooledUpstream> before = new LinkedHashMap<>(upstreams);
      upstreams.clear();
      for (SlotUpstream status : present) {
        PooledUpstream known = before.get(status.id());
        boolean sameRun = known != null && known.status().bornMillis() == status.bornMillis();
        PooledUpstream upstream = sameRun ? known : new PooledUpstream(status, durationMillis);
        upstream.updateStatus(status);
        upstreams.put(status.id(), upstream);
      }
    }
  }

  private boolean isUnchanged(List<SlotUpstream> present) {
    for (SlotUpstream status : present) {
      PooledUpstream known = upstreams.get(status.id());
      if (known == null || !known.status().equals(status)) {
        return false;
      }
    }
    return true;
  }

  /** Returns the number of calls that hold a slot. */
  int running() {
    return running;
  }

  /**
   * Returns the duration of a call without a spike or a queue at the upstreams, in milliseconds:
   * the lesser of the recent one and that of some hundred calls.
   */
  double usualMillis() {
    return Math.min(durationMillis, usualMillis);
  }

  /**
   * Returns the recent duration of a call, in milliseconds. If no call has begun or ended for
   * longer, the upstreams stall and the duration is at least that time.
   */
  double durationMillis(Instant now) {
    long stalled = running == 0 ? 0 : Duration.between(movedAt, now).toMillis();
    return Math.max(durationMillis, stalled);
  }

  /**
   * Returns the time from a grant in which most calls are answered, in milliseconds: the usual
   * duration, twice its mean deviation and the time of the transfers.
   */
  double safeMillis(Instant now) {
    return durationMillis(now) + 2 * deviationMillis + PooledUpstream.HANDOVER_MILLIS;
  }

  /**
   * Returns the upstreams that may receive a call. Those that failed recently are included only if
   * there are no others, and silent ones only if there are neither.
   */
  List<PooledUpstream> candidates(SlotAsk ask, Instant now) {
    Candidates known = newest;
    if (known == null || !known.isFor(ask, now)) {
      known = new Candidates(ask.versions(), ask.excluded(), now, findCandidates(ask, now));
      newest = known;
    }
    return known.upstreams();
  }

  private List<PooledUpstream> findCandidates(SlotAsk ask, Instant now) {
    List<PooledUpstream> candidates = new ArrayList<>();
    int bestTier = Integer.MAX_VALUE;
    for (PooledUpstream upstream : upstreams.values()) {
      SlotUpstream status = upstream.status();
      boolean eligible =
          ask.versions().contains(status.version()) && !ask.excluded().contains(status.id());
      int tier = status.ready() ? upstream.isAvoided(now) ? 1 : 0 : 2;
      if (eligible && tier <= bestTier) {
        if (tier < bestTier) {
          candidates.clear();
          bestTier = tier;
        }
        candidates.add(upstream);
      }
    }
    return candidates;
  }

  /**
   * Returns the upstream whose free slot suits a call best, or null if none has a free slot. If all
   * slots are in use, calls wait at the upstreams for those that end during a grant.
   */
  @Nullable PooledUpstream free(SlotAsk ask, Instant now) {
    PooledUpstream best = null;
    double leastCost = Double.MAX_VALUE;
    for (PooledUpstream upstream : candidates(ask, now)) {
      boolean hasSlot = upstream.hasFreeSlot(now);
      if (hasSlot || upstream.hasSpare(now)) {
        double cost = upstream.durationMillis();
        cost += upstream.status().zone().equals(ask.zone()) ? 0 : OTHER_ZONE_MILLIS;
        cost += LOAD_MILLIS * upstream.running() / upstream.limit();
        cost += hasSlot ? 0 : SPARE_MILLIS;
        if (cost < leastCost) {
          leastCost = cost;
          best = upstream;
        }
      }
    }
    return best;
  }

  /** Returns whether an upstream may get a call. */
  boolean hasFreeSlot(Instant now) {
    for (PooledUpstream upstream : upstreams.values()) {
      if (upstream.hasFreeSlot(now) || upstream.hasSpare(now)) {
        return true;
      }
    }
    return false;
  }

  /** Gives a call a slot. */
  void grant(SlotCall call, PooledUpstream upstream, Instant now) {
    call.upstream = upstream;
    call.grantedMillis = now.toEpochMilli();
    call.team.running++;
    upstream.recordGranted();
    running++;
    movedAt = now;
  }

  /** Takes back the slot of a call, and nothing if it holds none. */
  void release(SlotCall call) {
    PooledUpstream upstream = call.upstream;
    if (upstream != null) {
      call.upstream = null;
      call.team.running--;
      upstream.recordReleased();
      running--;
    }
  }

  /** Records how a call ended at its upstream. */
  void recordEnd(SlotCall call, PooledUpstream upstream, SlotNews news, Instant now) {
    newest = null;
    switch (news.progress()) {
      case ENDED -> {
        usualMillis += USUAL_SMOOTHING * (news.millis() - usualMillis);
        deviationMillis += SMOOTHING * (Math.abs(news.millis() - durationMillis) - deviationMillis);
        durationMillis += SMOOTHING * (news.millis() - durationMillis);
        upstream.recordEnded(news.millis(), now);
        movedAt = now;
      }
      case FULL -> upstream.recordFull(news.backoffMillis(), now);
      case FAILED -> upstream.recordFailed(now);
      case UNREACHABLE -> {
        // If others get answers, the entry's own link or processor is the cause.
        if (upstream.isSilentSince(call.grantedMillis)) {
          upstream.recordGone(now);
        } else {
          upstream.recordFailed(now);
        }
      }
      case SILENT -> {
        if (upstream.isSilentSince(call.grantedMillis)) {
          upstream.recordSilent(now);
        } else {
          upstream.recordFailed(now);
        }
      }
      case CANCELLED -> {}
      default -> throw new IllegalArgumentException("unknown progress " + news.progress());
    }
  }
}
