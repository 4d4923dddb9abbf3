package org.skylarkfork.core.reachability;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Whether this entry reaches the upstreams of one service over its own links.
 *
 * <p>An entry can't tell by itself whether its links are cut or the upstreams are gone. After
 * failures at several upstreams it connects through other entries; if these reach an upstream, the
 * links are cut, and if they don't either, the upstreams are gone.
 */
final class ServicePath {

  /** Number of upstreams that must be unreachable before the links are suspected. */
  private static final int MIN_UNREACHABLE = 2;

  /** Time within which the upstreams must have been unreachable. */
  private static final Duration FAILURE_WINDOW = Duration.ofSeconds(3);

  /**
   * Number of other entries that must not reach an upstream either before the upstreams count as
   * gone; the links of one or two of them may be cut as well.
   */
  private static final int MIN_WITNESSES = 3;

  /** Time without suspicion after no other entry reached the upstreams either. */
  private static final Duration CLEARED_DURATION = Duration.ofMillis(500);

  private static final Duration PROBE_INTERVAL = Duration.ofMillis(500);

  /** Successful connections in a row after which the links count as restored. */
  private static final int MIN_SUCCESSES = 2;

  /** Maximum of the successes that links need which were restored and cut again before. */
  private static final int MAX_SUCCESSES = 16;

  /** Time after which restored links count as stable. */
  private static final Duration STABLE_DURATION = Duration.ofSeconds(10);

  private final Map<String, Instant> unreachable = new HashMap<>();
  private final Set<String> unsuccessfulForwarders = new HashSet<>();
  private PathState state = PathState.DIRECT;
  private Instant clearedUntil = Instant.EPOCH;
  private Instant probedAt = Instant.EPOCH;
  private Instant restoredAt = Instant.EPOCH;
  private Instant answeredAt = Instant.EPOCH;
  private boolean probeRequested;
  private int successes;
  private int requiredSuccesses = MIN_SUCCESSES;

  PathState state() {
    return state;
  }

  /**
   * Records a connection over this entry's own links.
   *
   * @param upstream id of the upstream
   * @param opened whether the connection was opened
   * @param upstreams number of upstreams of the service
   * @param otherCut whether the links to another service are cut, so that one failure suffices
   * @param now the present time
   */
  void recordDirect(String upstream, boolean opened, int upstreams, boolean otherCut, Instant now) {
    if (opened) {
      recordDirectSuccess(now);
      return;
    }
    successes = 0;
    unreachable.values().removeIf(failedAt -> now.isAfter(failedAt.plus(FAILURE_WINDOW)));
    unreachable.put(upstream, now);
    int required = otherCut ? 1 : Math.min(MIN_UNREACHABLE, upstreams);
    boolean suspicious = unreachable.size() >= required && !now.isBefore(clearedUntil);
    if (state == PathState.DIRECT && suspicious) {
      state = PathState.SUSPECTED;
      unsuccessfulForwarders.clear();
    }
  }

  private void recordDirectSuccess(Instant now) {
    unreachable.clear();
    if (state == PathState.SUSPECTED) {
      state = PathState.DIRECT;
    } else if (state == PathState.FORWARDED) {
      successes++;
      if (successes >= requiredSuccesses) {
        state = PathState.DIRECT;
        restoredAt = now;
      }
    }
  }

  /**
   * Records a connection that another entry opened, or failed to open, for this one.
   *
   * @param forwarder the other entry
   * @param opened whether the connection was opened
   * @param forwarders number of entries that forward connections
   * @param now the present time
   */
  void recordForwarded(String forwarder, boolean opened, int forwarders, Instant now) {
    if (state != PathState.SUSPECTED) {
      return;
    }
    if (opened) {
      confirmCut(now);
      return;
    }
    unsuccessfulForwarders.add(forwarder);
    if (unsuccessfulForwarders.size() >= Math.min(MIN_WITNESSES, forwarders)) {
      state = PathState.DIRECT;
      unreachable.clear();
      clearedUntil = now.plus(CLEARED_DURATION);
    }
  }

  /** Links that come and go need a longer proof each time, so that requests don't follow them. */
  private void confirmCut(Instant now) {
    boolean wasStable = now.isAfter(restoredAt.plus(STABLE_DURATION));
    requiredSuccesses = wasStable ? MIN_SUCCESSES : Math.min(MAX_SUCCESSES, requiredSuccesses * 2);
    successes = 0;
    state = PathState.FORWARDED;
  }

  /** Records an answer over this entry's own links. */
  void recordAnswer(Instant now) {
    answeredAt = now;
  }

  /** Returns whether the links are cut and have carried no answer since a time. */
  boolean isSilentSince(Instant since) {
    return state == PathState.FORWARDED && answeredAt.isBefore(since);
  }

  /** Requests a probe if the service has sent no answer over the own links since a time. */
  void recordUnanswered(Instant since) {
    if (answeredAt.isBefore(since)) {
      probeRequested = true;
    }
  }

  /** Requests a probe because the links to another service are cut. */
  void requestProbe() {
    probeRequested = true;
  }

  /** Returns whether upstreams are to be probed over the own links now. */
  boolean takeProbe(Instant now) {
    boolean due =
        (probeRequested || state != PathState.DIRECT)
            && !now.isBefore(probedAt.plus(PROBE_INTERVAL));
    if (due) {
      probedAt = now;
      probeRequested = false;
    }
    return due;
  }

  /** Returns how many upstreams are probed at once: enough to suspect the links. */
  int probeCount() {
    return state == PathState.FORWARDED ? 1 : MIN_UNREACHABLE;
  }
}
