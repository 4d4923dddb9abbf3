package org.skylarkfork.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.HexFormat;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.effect.TraceEffect;

/**
 * What an entry tells of its decisions on requests: log lines, counters and histograms.
 *
 * <p>A line is {@code event=NAME id=ID} and further {@code key=value} facts. Each ends with the
 * version of the configuration that decided and the age of the proof that it was the newest.
 */
final class RequestTrace {

  private static final String PART = "request";
  private static final double MILLIS_A_SECOND = 1000.0;

  private final RelayView view;

  RequestTrace(RelayView view) {
    this.view = view;
  }

  void sent(ActiveRelay relay, Placement placement, Instant now, Output output) {
    TrackedUpstream track = placement.upstream();
    String facts =
        "attempt="
            + relay.attempt
            + " content="
            + relay.key
            + " upstream="
            + track.instance().id()
            + " upstream_version="
            + track.instance().version()
            + " upstream_zone="
            + track.instance().zone()
            + " condition="
            + track.condition()
            + " running="
            + track.running(now)
            + " wait_ms="
            + Math.round(placement.waitMillis())
            + " first_byte_ms="
            + Math.round(placement.firstByteMillis())
            + " new_tokens="
            + placement.newTokens()
            + " failure_share="
            + Math.round(track.failureShare() * 100)
            + " rate_limit="
            + track.rateLimit()
            + " scheduler="
            + (relay.grant == null ? "-" : relay.grant.scheduler())
            + " model="
            + relay.model
            + " team="
            + (relay.team == null ? "-" : relay.team.name())
            + " after_event="
            + relay.lastEventId;
    String placedBy = relay.grant == null ? "entry" : "scheduler";
    output.effect(new TraceEffect.Count("relay_placements", placedBy, 1));
    if (track.rateLimit().isBounded()) {
      output.effect(new TraceEffect.Count("relay_limited_sends", relay.service.name(), 1));
    }
    line(false, "sent", relay, facts, now, output);
  }

  void answered(ActiveRelay relay, int status, Instant now, Output output) {
    long millis = Duration.between(relay.sentAt, now).toMillis();
    double seconds = millis / MILLIS_A_SECOND;
    Placement placement = relay.placement;
    String facts =
        "attempt="
            + relay.attempt
            + " status="
            + status
            + " model="
            + relay.model
            + " confidence="
            + relay.confidence
            + " first_byte_ms="
            + millis
            + " expected_ms="
            + (placement == null ? -1 : Math.round(placement.firstByteMillis()));
    line(false, "answered", relay, facts, now, output);
    output.effect(
        new TraceEffect.Observe("relay_first_byte_seconds", relay.route.kind().name(), seconds));
    output.effect(new TraceEffect.Count("relay_answers", String.valueOf(status), 1));
  }

  /** Tells of an attempt that ended without a good answer. */
  void attemptEnded(String event, ActiveRelay relay, String facts, Instant now, Output output) {
    output.effect(new TraceEffect.Count("relay_attempts_ended", event, 1));
    TrackedUpstream track = relay.upstream();
    String upstream = track == null ? "-" : track.instance().id();
    String all =
        "attempt="
            + relay.attempt
            + " content="
            + relay.key
            + " upstream="
            + upstream
            + " "
            + facts;
    line(true, event, relay, all, now, output);
  }

  /** Tells that a larger model is asked in place of an answer. */
  void larger(ActiveRelay relay, int model, Placement placement, Instant now, Output output) {
    output.effect(new TraceEffect.Count("relay_larger_models", relay.route.name(), 1));
    String facts =
        "from="
            + relay.model
            + " to="
            + model
            + " confidence="
            + relay.confidence
            + " wait_ms="
            + Math.round(placement.waitMillis())
            + " first_byte_ms="
            + Math.round(placement.firstByteMillis());
    line(false, "larger_model", relay, facts, now, output);
  }

  /** Tells how a request ended. */
  void ended(String outcome, ActiveRelay relay, String facts, Instant now, Output output) {
    double seconds = Duration.between(relay.arrivedAt, now).toMillis() / MILLIS_A_SECOND;
    output.effect(new TraceEffect.Count("relay_requests", outcome, 1));
    output.effect(
        new TraceEffect.Observe("relay_request_seconds", relay.route.kind().name(), seconds));
    line(!outcome.equals("done"), outcome, relay, facts, now, output);
  }

  /** Tells of a request that was refused before it had a route. */
  void refused(RelayRequest request, Refusal refusal, Instant now, Output output) {
    output.effect(new TraceEffect.Count("relay_requests", "refused", 1));
    String line =
        "event=refused id="
            + request.id()
            + " why="
            + refusal
            + " content=/"
            + HexFormat.of().toHexDigits(request.contentHash())
            + " host="
            + request.host()
            + belief(now);
    output.effect(new TraceEffect.LogLine(true, PART, line));
  }

  private void line(
      boolean warning, String event, ActiveRelay relay, String facts, Instant now, Output output) {
    String line =
        "event="
            + event
            + " id="
            + relay.request.id()
            + " route="
            + relay.route.name()
            + " kind="
            + relay.route.kind()
            + " "
            + facts
            + " ms="
            + Duration.between(relay.arrivedAt, now).toMillis()
            + " left_ms="
            + Duration.between(now, relay.deadline).toMillis()
            + belief(now);
    output.effect(new TraceEffect.LogLine(warning, PART, line));
  }

  private String belief(Instant now) {
    return " configuration="
        + view.table().configuration().version()
        + " proof_age_ms="
        + view.proofAge(now).toMillis();
  }
}
