package org.skylarkfork.core.crash;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.effect.TraceEffect;
import org.skylarkfork.core.message.CrashMessage.LostRequest;
import org.skylarkfork.core.message.CrashMessage.ObservedPart;
import org.skylarkfork.core.message.CrashMessage.PartsObserved;
import org.skylarkfork.core.message.CrashMessage.PartsSuspected;
import org.skylarkfork.core.message.CrashMessage.RequestServed;
import org.skylarkfork.core.message.CrashMessage.UpstreamEnded;
import org.skylarkfork.core.upstream.UpstreamRun;

/**
 * Detects, on an entry, upstreams that ended while they ran requests, and reports the requests that
 * were lost to the crash reviewers.
 *
 * <p>A lost attempt does not show that its upstream has ended: upstreams that continue to serve
 * also reset connections and corrupt answers. An upstream that accepts no connection any more has
 * ended.
 *
 * <p>A crash reviewer keeps reports in memory only. All retained losses are reported again to a new
 * reviewer, so that a crashing request stays known after each election.
 */
public final class CrashDetector {

  /** Time after the first lost attempt in which further losses are attributed to the same end. */
  private static final Duration ATTRIBUTION_WINDOW = Duration.ofSeconds(5);

  /** Time for which ends are retained, to be reported to a new reviewer. */
  private static final Duration RETENTION = Duration.ofSeconds(60);

  /**
   * Interval between repeated reports of an end, within {@link #REPORT_PERIOD}; messages may be
   * lost.
   */
  private static final Duration REPORT_INTERVAL = Duration.ofMillis(500);

  private static final Duration REPORT_PERIOD = Duration.ofSeconds(2);

  /** Maximum number of upstreams whose losses are retained; the oldest are evicted first. */
  private static final int MAX_UPSTREAMS = 64;

  /** Maximum number of lost requests of one upstream; an engine runs 64 at once. */
  private static final int MAX_LOST = 128;

  /** Maximum number of requests in a log line. */
  private static final int MAX_LOGGED = 12;

  private final CrashReviewers reviewers;
  private final String counter;
  private final Map<UpstreamRun, Losses> losses = new LinkedHashMap<>();
  private final AnsweredRequests answered = new AnsweredRequests();

  /**
   * Creates a detector without any losses.
   *
   * @param reviewers the daemons that receive the reports
   * @param counter name of the metric that counts upstreams that ended, by service
   */
  public CrashDetector(CrashReviewers reviewers, String counter) {
    this.reviewers = reviewers;
    this.counter = counter;
  }

  /** An attempt that reached an upstream and received no complete answer. */
  private record Lost(Instant sentAt, Instant lostAt, List<Long> parts) {}

  /** The attempts that were lost in one run of an upstream. */
  private static final class Losses {
    private final SuspectedUpstream upstream;
    private final Instant firstAt;
    private final Map<RequestKey, Lost> byKey = new LinkedHashMap<>();
    private @Nullable Instant endedAt;
    private Instant reportedAt = Instant.EPOCH;
    private List<String> reportedTo = List.of();

    private Losses(SuspectedUpstream upstream, Instant firstAt) {
      this.upstream = upstream;
      this.firstAt = firstAt;
    }
  }

  /**
   * Records an attempt that reached an upstream and received no complete answer, and probes the
   * upstream unless a probe is in progress.
   *
   * @param upstream the upstream
   * @param keys the request
   * @param sentAt when the attempt was sent
   * @param now the present time
   * @param output receives the effects
   */
  public void recordLoss(
      SuspectedUpstream upstream, RequestKeys keys, Instant sentAt, Instant now, Output output) {
    Losses upstreamLosses = losses.get(upstream.run());
    if (upstreamLosses == null) {
      upstreamLosses = new Losses(upstream, now);
      losses.put(upstream.run(), upstreamLosses);
      evictOldest();
      output.effect(upstream.probe());
    }
    if (upstreamLosses.byKey.size() < MAX_LOST) {
      upstreamLosses.byKey.put(keys.content(), new Lost(sentAt, now, keys.parts()));
    }
    if (upstreamLosses.endedAt != null) {
      report(upstreamLosses, List.of(keys.content()), now, output);
    }
  }

  private void evictOldest() {
    if (losses.size() > MAX_UPSTREAMS) {
      losses.remove(losses.keySet().iterator().next());
    }
  }

  /**
   * Processes the result of a probe. Losses at a reachable upstream are attributed to its
   * connections.
   */
  public void onProbeResult(UpstreamRun upstream, boolean reachable, Instant now, Output output) {
    Losses upstreamLosses = losses.get(upstream);
    if (upstreamLosses == null || upstreamLosses.endedAt != null) {
      return;
    }
    if (reachable) {
      losses.remove(upstream);
      return;
    }
    upstreamLosses.endedAt = now;
    output.effect(new TraceEffect.Count(counter, upstreamLosses.upstream.service(), 1));
    output.effect(new TraceEffect.LogLine(true, "request", describe(upstreamLosses, now)));
    reportAll(upstreamLosses, now, output);
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
        + losses.byKey.keySet().stream().limit(MAX_LOGGED).toList()
        + " ms="
        + Duration.between(losses.firstAt, now).toMillis();
  }

  /**
   * Records that a request was answered completely and so has crashed no upstream.
   *
   * @param keys the request
   * @param service service of the upstream that answered
   * @param now the present time
   * @param output receives the effects
   */
  public void recordServed(RequestKeys keys, String service, Instant now, Output output) {
    answered.record(keys, service, now);
    boolean suspected = false;
    for (Losses upstreamLosses : losses.values()) {
      boolean wasLost = upstreamLosses.byKey.remove(keys.content()) != null;
      suspected |= wasLost && upstreamLosses.endedAt != null;
    }
    if (suspected) {
      reviewers.report(new RequestServed(keys.content()), output);
    }
  }

  /** Reports that a request with a part was answered completely although it is quarantined. */
  public void reportServedPart(RequestKey part, Output output) {
    ObservedPart served = new ObservedPart(part, 0, false, 0);
    reviewers.report(new PartsObserved(List.of(served)), output);
  }

  /**
   * Answers the reviewer's question about suspected parts.
   *
   * @param question the parts
   * @param inProgress requests that upstreams process
   * @param now the present time
   * @param output receives the effects
   */
  public void onPartsSuspected(
      PartsSuspected question, List<AttemptInProgress> inProgress, Instant now, Output output) {
    reviewers.report(answered.observe(question, inProgress, now), output);
  }

  /** Repeats the reports of ends that are due and removes expired losses. */
  public void tick(Instant now, Output output) {
    Iterator<Losses> iterator = losses.values().iterator();
    while (iterator.hasNext()) {
      Losses upstreamLosses = iterator.next();
      Duration age = Duration.between(upstreamLosses.firstAt, now);
      if (age.compareTo(upstreamLosses.endedAt == null ? ATTRIBUTION_WINDOW : RETENTION) >= 0) {
        iterator.remove();
      } else if (isReportDue(upstreamLosses, now)) {
        reportAll(upstreamLosses, now, output);
      }
    }
  }

  private boolean isReportDue(Losses upstreamLosses, Instant now) {
    Instant endedAt = upstreamLosses.endedAt;
    if (endedAt == null || reviewers.peers().isEmpty()) {
      return false;
    }
    boolean repeat =
        now.isBefore(endedAt.plus(REPORT_PERIOD))
            && !now.isBefore(upstreamLosses.reportedAt.plus(REPORT_INTERVAL));
    return repeat || !upstreamLosses.reportedTo.containsAll(reviewers.peers());
  }

  private void reportAll(Losses upstreamLosses, Instant now, Output output) {
    upstreamLosses.reportedAt = now;
    upstreamLosses.reportedTo = List.copyOf(reviewers.peers());
    report(upstreamLosses, upstreamLosses.byKey.keySet(), now, output);
  }

  private void report(
      Losses upstreamLosses, Collection<RequestKey> keys, Instant now, Output output) {
    if (keys.isEmpty()) {
      return;
    }
    List<LostRequest> lost = new ArrayList<>();
    for (RequestKey key : keys) {
      Lost request = upstreamLosses.byKey.get(key);
      if (request != null) {
        lost.add(lostRequest(key, request, now));
      }
    }
    SuspectedUpstream upstream = upstreamLosses.upstream;
    reviewers.report(new UpstreamEnded(upstream.run(), lost, upstream.service()), output);
  }

  private static LostRequest lostRequest(RequestKey key, Lost lost, Instant now) {
    return new LostRequest(key, millis(lost.sentAt, now), millis(lost.lostAt, now), lost.parts);
  }

  private static int millis(Instant from, Instant now) {
    return (int) Math.max(0, Duration.between(from, now).toMillis());
  }
}
