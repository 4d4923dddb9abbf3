package org.skylarkfork.core.relay;

import java.time.Duration;
import java.time.Instant;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.effect.RelayEffect;
import org.skylarkfork.core.effect.TraceEffect;
import org.skylarkfork.core.event.RelayEvent;
import org.skylarkfork.core.overload.RejectionLimits;

/** Records what upstreams state in their answers about the requests that they accept. */
final class UpstreamNoticeRecorder {

  private static final int MISDIRECTED_REQUEST = 421;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int UNAVAILABLE = 503;

  /**
   * Maximum fraction of a requested backoff by which an entry waits longer, so that entries don't
   * all return to the upstream at the same moment.
   */
  private static final double MAX_SPREAD_FRACTION = 0.1;

  /** Maximum time by which an entry waits longer than requested, in milliseconds. */
  private static final long MAX_SPREAD_MILLIS = 500;

  private final RelayView view;
  private final UniformRandomProvider random;

  /**
   * Creates a recorder.
   *
   * @param view the entry's view of the deployment
   * @param seed seed of random choices
   */
  UpstreamNoticeRecorder(RelayView view, long seed) {
    this.view = view;
    this.random = RandomSource.XO_SHI_RO_256_PP.create(seed);
  }

  /**
   * Records the notice of an answer, and recalls the attempts that have not reached the upstream
   * yet. A misdirected request was answered by another run, whose notice says nothing about this
   * one.
   *
   * @param upstream the upstream that answered
   * @param received the notice and the status of its answer
   * @param request id of the request that the answer belongs to
   * @param now the present time
   * @param output receives the resulting effects
   * @return whether the answer asks this entry for a backoff
   */
  boolean recordNotice(
      TrackedUpstream upstream,
      RelayEvent.NoticeReceived received,
      String request,
      Instant now,
      Output output) {
    if (received.status() == MISDIRECTED_REQUEST) {
      return false;
    }
    if (received.notice().leaving()) {
      recordLeaving(upstream, request, output);
    }
    recordRejectionLimit(upstream, received.notice(), request, now, output);
    long backoffMillis =
        mayRequestBackoff(received.status()) ? backoffMillis(upstream, received, now) : 0;
    boolean requestsBackoff = backoffMillis > 0;
    if (requestsBackoff) {
      recordBackoff(upstream, received.status(), backoffMillis, request, now, output);
      output.effect(new RelayEffect.RecallUnsent(upstream.instance()));
    }
    return requestsBackoff;
  }

  private void recordRejectionLimit(
      TrackedUpstream upstream, UpstreamNotice notice, String request, Instant now, Output output) {
    String service = upstream.instance().service();
    boolean changed =
        notice.rejectionLimit() != RejectionLimits.NONE
            && view.rejectionLimits().record(service, notice.rejectionLimit(), now);
    if (changed) {
      String facts =
          "event=rejection_limit_stated service="
              + service
              + " per_second="
              + notice.rejectionLimit()
              + " id="
              + upstream.instance().id()
              + " request="
              + request;
      log(facts, output);
    }
  }

  /** Returns the time for which a refusing upstream receives nothing, in milliseconds. */
  private long backoffMillis(
      TrackedUpstream upstream, RelayEvent.NoticeReceived received, Instant now) {
    String service = upstream.instance().service();
    long pauseMillis =
        view.rejectionLimits().pauseAfterRejection(service, view.entries(), now).toMillis();
    return Math.max(received.notice().backoffMillis(), pauseMillis);
  }

  private static boolean mayRequestBackoff(int status) {
    return status == UNAVAILABLE || status == TOO_MANY_REQUESTS;
  }

  private static void recordLeaving(TrackedUpstream upstream, String request, Output output) {
    if (!upstream.reportsLeaving()) {
      upstream.markReportsLeaving();
      String id = upstream.instance().id();
      log("event=leaving_reported id=" + id + " request=" + request, output);
      output.effect(new RelayEffect.RecallUnsent(upstream.instance()));
    }
  }

  private void recordBackoff(
      TrackedUpstream upstream,
      int status,
      long requestedMillis,
      String request,
      Instant now,
      Output output) {
    RequestedBackoff backoff = upstream.backoff();
    long beforeMillis = backoff.remaining(now).toMillis();
    backoff.extend(spread(requestedMillis), now);
    String service = upstream.instance().service();
    output.effect(new TraceEffect.Count("relay_backoffs_requested", service, 1));
    String facts =
        "event=backoff_requested id="
            + upstream.instance().id()
            + " status="
            + status
            + " requested_ms="
            + requestedMillis
            + " remaining_ms="
            + backoff.remaining(now).toMillis()
            + " before_ms="
            + beforeMillis
            + " request="
            + request;
    log(facts, output);
  }

  private Duration spread(long requestedMillis) {
    double maxSpread = Math.min(MAX_SPREAD_MILLIS, MAX_SPREAD_FRACTION * requestedMillis);
    Duration requested = Duration.ofMillis(requestedMillis);
    return requested.plusMillis((long) (random.nextDouble() * maxSpread));
  }

  private static void log(String facts, Output output) {
    output.effect(new TraceEffect.LogLine(true, "relay", facts));
  }
}
