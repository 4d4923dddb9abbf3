package org.skylarkfork.core.crash;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.effect.TraceEffect;
import org.skylarkfork.core.message.CrashMessage.LostRequest;
import org.skylarkfork.core.message.CrashMessage.RequestServed;
import org.skylarkfork.core.message.CrashMessage.UpstreamEnded;
import org.skylarkfork.core.upstream.UpstreamRun;

/**
 * Finds out, at an entry, which upstreams have ended while they ran requests, and tells those that
 * judge which requests these were.
 *
 * <p>An attempt that is lost says nothing of its upstream: a connection is reset, an answer spoilt,
 * by upstreams that go on serving. One that takes no connection any more has ended.
 *
 * <p>A judge keeps what it is told in memory. A new one is told again all that is kept here, so
 * that a content which ends upstreams isn't unknown again after each election.
 */
public final class CrashDetector {

  /** Time after the first lost attempt in which others are put down to the same end. */
  private static final Duration SAME_END = Duration.ofSeconds(5);

  /** Time for which ends are kept, to be told to a new judge. */
  private static final Duration KEPT = Duration.ofSeconds(60);

  /** An end is told again after this pause, for some time: messages may be lost. */
  private static final Duration AGAIN = Duration.ofMillis(500);

  private static final Duration REPEATED = Duration.ofSeconds(2);

  /** Upstreams whose losses are kept; the oldest are forgotten first. */
  private static final int MAX_UPSTREAMS = 64;

  /** Lost requests of one upstream that are kept; an engine runs 64 at once. */
  private static final int MAX_LOST = 128;

  /** Requests that are named in a log line. */
  private static final int MAX_NAMED = 12;

  private final CrashReviewers judges;
  private final String counter;
  private final Map<UpstreamRun, Losses> losses = new LinkedHashMap<>();

  /**
   * Makes a watch that lost nothing.
   *
   * @param judges those that are told
   * @param counter name of the metric that counts upstreams that ended, by service
   */
  public CrashDetector(CrashReviewers judges, String counter) {
    this.judges = judges;
    this.counter = counter;
  }

  /** An attempt that reached an upstream and got no whole answer. */
  private record Lost(Instant sentAt, Instant lostAt) {}

  /** What was lost at one start of an upstream. */
  private static final class Losses {
    private final SuspectedUpstream upstream;
    private final Instant firstAt;
    private final Map<RequestKey, Lost> byKey = new LinkedHashMap<>();
    private @Nullable Instant endedAt;
    private Instant toldAt = Instant.EPOCH;
    private List<String> toldTo = List.of();

    private Losses(SuspectedUpstream upstream, Instant firstAt) {
      this.upstream = upstream;
      this.firstAt = firstAt;
    }
  }

  /**
   * Takes note of an attempt that reached an upstream and got no whole answer, and has the upstream
   * probed if that isn't under way.
   *
   * @param upstream the upstream
   * @param key the request
   * @param sentAt when the attempt was sent
   * @param now the present time
   * @param output takes what is to be done
   */
  public void recordLoss(
      SuspectedUpstream upstream, RequestKey key, Instant sentAt, Instant now, Output output) {
    Losses known = losses.get(upstream.run());
    if (known == null) {
      known = new Losses(upstream, now);
      losses.put(upstream.run(), known);
      forgetOldest();
      output.effect(upstream.probe());
    }
    if (known.byKey.size() < MAX_LOST) {
      known.byKey.put(key, new Lost(sentAt, now));
    }
    if (known.endedAt != null) {
      tell(known, List.of(key), now, output);
    }
  }

  private void forgetOldest() {
    if (losses.size() > MAX_UPSTREAMS) {
      losses.remove(losses.keySet().iterator().next());
    }
  }

  /** Takes the word of a probe: losses at an upstream that goes on are its connections' only. */
  public void onProbeResult(UpstreamRun upstream, boolean reachable, Instant now, Output output) {
    Losses known = losses.get(upstream);
    if (known == null || known.endedAt != null) {
      return;
    }
    if (reachable) {
      losses.remove(upstream);
      return;
    }
    known.endedAt = now;
    output.effect(new TraceEffect.Count(counter, known.upstream.service(), 1));
    output.effect(new TraceEffect.LogLine(true, "request", describe(known, now)));
    tellAll(known, now, output);
  }

  private static String describe(Losses losses, Instant now) {
    return "event=upstream_ended id="
        + losses.upstream.run().id()
        + " service="
        + losses.upstream.service()
        + " upstream_version="
        + losses.upstream.version()
        + " lost="
        + losses.byKey.size()
        + " requests="
        + losses.byKey.keySet().stream().limit(MAX_NAMED).toList()
        + " ms="
        + Duration.between(losses.firstAt, now).toMillis();
  }

  /** Returns whether anything is kept that was lost, so that answers matter. */
  public boolean hasLosses() {
    return !losses.isEmpty();
  }

  /** Takes note that a request was answered whole: it has ended no upstream. */
  public void recordServed(RequestKey key, Output output) {
    boolean suspected = false;
    for (Losses one : losses.values()) {
      suspected |= one.byKey.remove(key) != null && one.endedAt != null;
    }
    if (suspected) {
      judges.report(new RequestServed(key), output);
    }
  }

  /** Tells ends again where that is due, and forgets old ones. */
  public void tick(Instant now, Output output) {
    Iterator<Losses> all = losses.values().iterator();
    while (all.hasNext()) {
      Losses one = all.next();
      Duration age = Duration.between(one.firstAt, now);
      if (age.compareTo(one.endedAt == null ? SAME_END : KEPT) >= 0) {
        all.remove();
      } else if (isDue(one, now)) {
        tellAll(one, now, output);
      }
    }
  }

  private boolean isDue(Losses one, Instant now) {
    Instant endedAt = one.endedAt;
    if (endedAt == null || judges.peers().isEmpty()) {
      return false;
    }
    boolean again = now.isBefore(endedAt.plus(REPEATED)) && !now.isBefore(one.toldAt.plus(AGAIN));
    return again || !one.toldTo.containsAll(judges.peers());
  }

  private void tellAll(Losses one, Instant now, Output output) {
    one.toldAt = now;
    one.toldTo = List.copyOf(judges.peers());
    tell(one, one.byKey.keySet(), now, output);
  }

  private void tell(Losses one, Collection<RequestKey> keys, Instant now, Output output) {
    if (keys.isEmpty()) {
      return;
    }
    List<LostRequest> lost = keys.stream().map(key -> told(key, one.byKey.get(key), now)).toList();
    judges.report(new UpstreamEnded(one.upstream.run(), lost), output);
  }

  private static LostRequest told(RequestKey key, @Nullable Lost lost, Instant now) {
    Instant sentAt = lost == null ? now : lost.sentAt;
    Instant lostAt = lost == null ? now : lost.lostAt;
    return new LostRequest(key, millis(sentAt, now), millis(lostAt, now));
  }

  private static int millis(Instant from, Instant now) {
    return (int) Math.max(0, Duration.between(from, now).toMillis());
  }
}
