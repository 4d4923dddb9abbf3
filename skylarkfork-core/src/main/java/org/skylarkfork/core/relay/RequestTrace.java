package org.skylarkfork.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.HexFormat;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.answer.ReceivedAnswer;
import org.skylarkfork.core.crash.RequestKey;
import org.skylarkfork.core.crash.RequestKeys;
import org.skylarkfork.core.effect.TraceEffect;
import org.skylarkfork.core.event.RelayEvent;
import org.skylarkfork.core.recovery.Release;

/**
 * Reports an entry's decisions on requests as log lines, counters and histograms.
 *
 * <p>A line consists of {@code event=NAME id=ID} and further {@code key=value} pairs. Each line
 * ends with the version of the configuration in use and the time since it was proven to be the
 * newest.
 */
final class RequestTrace {

  private static final String PART = "request";
  private static final double MILLIS_A_SECOND = 1000.0;

  /** Maximum number of parts of a prompt in a log line. */
  private static final int MAX_LOGGED_PARTS = 8;

  /** Maximum number of characters of a part's id in a log line. */
  private static final int MAX_LOGGED_ID = 32;

  /** Maximum number of characters of a request's id or host in a log line. */
  private static final int MAX_LOGGED_NAME = 128;

  private final RelayView view;

  RequestTrace(RelayView view) {
    this.view = view;
  }

  void sent(ActiveRelay relay, Placement placement, Instant now, Output output) {
    TrackedUpstream tracked = placement.upstream();
    String facts =
        "attempt="
            + relay.attempt
            + " content="
            + relay.keys.content()
            + " parts="
            + parts(relay)
            + " upstream="
            + tracked.instance().id()
            + " upstream_version="
            + tracked.instance().version()
            + " upstream_zone="
            + tracked.instance().zone()
            + " condition="
            + tracked.condition()
            + " running="
            + tracked.running(now)
            + " wait_ms="
            + Math.round(placement.waitMillis())
            + " first_byte_ms="
            + Math.round(placement.firstByteMillis())
            + " new_tokens="
            + placement.newTokens()
            + " failure_share="
            + Math.round(tracked.failureShare() * 100)
            + " rate_limit="
            + tracked.rateLimit()
            + " avoided="
            + tracked.isAvoided(now)
            + " backoff_ms="
            + tracked.backoff().remaining(now).toMillis()
            + " scheduler="
            + (relay.grant == null ? "-" : relay.grant.scheduler())
            + " model="
            + relay.modelIndex
            + " forwarder="
            + (relay.forwarder == null ? "-" : relay.forwarder)
            + " team="
            + (relay.team == null ? "-" : relay.team.name())
            + " shift="
            + placement.shift()
            + " after_event="
            + relay.lastEventId;
    countSent(relay, tracked, now, output);
    log(false, "sent", relay, facts, now, output);
  }

  /** Returns the ids of the parts of a request's prompt, abbreviated, as many as fit in a line. */
  private static List<String> parts(ActiveRelay relay) {
    return relay.request.prompt().stream()
        .limit(MAX_LOGGED_PARTS)
        .map(part -> abbreviate(part.id(), MAX_LOGGED_ID))
        .toList();
  }

  private static void countSent(
      ActiveRelay relay, TrackedUpstream tracked, Instant now, Output output) {
    String placedBy = relay.grant == null ? "entry" : "scheduler";
    output.effect(new TraceEffect.Count("relay_placements", placedBy, 1));
    if (relay.forwarder != null) {
      output.effect(new TraceEffect.Count("relay_forwarded_sends", relay.service.name(), 1));
    }
    if (tracked.rateLimit().isBounded()) {
      output.effect(new TraceEffect.Count("relay_limited_sends", relay.service.name(), 1));
    }
    if (tracked.backoff().isActive(now)) {
      output.effect(new TraceEffect.Count("relay_backoff_sends", relay.service.name(), 1));
    }
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
            + relay.modelIndex
            + " confidence="
            + relay.confidence
            + " first_byte_ms="
            + millis
            + " expected_ms="
            + (placement == null ? -1 : Math.round(placement.firstByteMillis()));
    log(false, "answered", relay, facts, now, output);
    output.effect(
        new TraceEffect.Observe("relay_first_byte_seconds", relay.route.kind().name(), seconds));
    output.effect(new TraceEffect.Count("relay_answers", String.valueOf(status), 1));
  }

  /** Reports an attempt that ended without a successful answer. */
  void attemptEnded(String event, ActiveRelay relay, String facts, Instant now, Output output) {
    output.effect(new TraceEffect.Count("relay_attempts_ended", event, 1));
    TrackedUpstream tracked = relay.upstream();
    String upstream = tracked == null ? "-" : tracked.instance().id();
    String allFacts =
        "attempt="
            + relay.attempt
            + " content="
            + relay.keys.content()
            + " parts="
            + parts(relay)
            + " upstream="
            + upstream
            + " "
            + facts
            + " "
            + relay.connectionUse.facts();
    log(true, event, relay, allFacts, now, output);
  }

  /** Reports an answer that isn't the one to the request in progress on its connection. */
  void extraAnswer(RelayEvent.ExtraAnswer extra, Instant now, Output output) {
    String when = extra.idle() ? "idle" : "skipped";
    output.effect(new TraceEffect.Count("relay_extra_answers", when, 1));
    String message =
        "event=extra_answer upstream="
            + extra.upstream().id()
            + " when="
            + when
            + " carried="
            + extra.carried()
            + " "
            + extra.use().facts()
            + configurationFacts(now);
    output.effect(new TraceEffect.LogLine(true, PART, message));
  }

  /** Counts the answer of an attempt by its framing and by whether it is whole. */
  void answerEnded(ReceivedAnswer answer, Output output) {
    String kind = answer.framing() + "_" + answer.end();
    output.effect(new TraceEffect.Count("relay_answer_ends", kind, 1));
  }

  /** Counts a failed attempt by its failure. */
  void attemptFailed(AttemptFailure failure, Output output) {
    output.effect(new TraceEffect.Count("relay_attempt_failures", failure.name(), 1));
  }

  /** Reports an escalation to a larger model, which replaces the answer received. */
  void escalated(ActiveRelay relay, int model, Placement placement, Instant now, Output output) {
    output.effect(new TraceEffect.Count("relay_larger_models", relay.route.name(), 1));
    String facts =
        "from="
            + relay.modelIndex
            + " to="
            + model
            + " confidence="
            + relay.confidence
            + " wait_ms="
            + Math.round(placement.waitMillis())
            + " first_byte_ms="
            + Math.round(placement.firstByteMillis())
            + " "
            + relay.connectionUse.facts();
    log(false, "larger_model", relay, facts, now, output);
  }

  /** Reports the outcome of a request. */
  void ended(String outcome, ActiveRelay relay, String facts, Instant now, Output output) {
    double seconds = Duration.between(relay.arrivedAt, now).toMillis() / MILLIS_A_SECOND;
    output.effect(new TraceEffect.Count("relay_requests", outcome, 1));
    output.effect(
        new TraceEffect.Observe("relay_request_seconds", relay.route.kind().name(), seconds));
    log(!outcome.equals("done"), outcome, relay, facts, now, output);
  }

  /** Reports the retry delay that a refused caller receives, unless it receives none. */
  void returnTime(Refusal refusal, long retryAfterMillis, Output output) {
    if (retryAfterMillis > 0) {
      double seconds = retryAfterMillis / MILLIS_A_SECOND;
      output.effect(new TraceEffect.Observe("relay_return_seconds", refusal.name(), seconds));
    }
  }

  /** Reports a request that was refused before it was admitted. */
  void refused(
      RelayRequest request, Refusal refusal, long retryAfterMillis, Instant now, Output output) {
    output.effect(new TraceEffect.Count("relay_requests", "refused", 1));
    String message =
        "event=refused id="
            + abbreviate(request.id(), MAX_LOGGED_NAME)
            + " why="
            + refusal
            + " content=/"
            + HexFormat.of().toHexDigits(request.contentHash())
            + quarantineFacts(request, refusal)
            + " host="
            + abbreviate(request.host(), MAX_LOGGED_NAME)
            + " retry_after_ms="
            + retryAfterMillis
            + configurationFacts(now);
    output.effect(new TraceEffect.LogLine(true, PART, message));
  }

  /** Returns the quarantined key of a refused request, and the part of its prompt if it is one. */
  private String quarantineFacts(RelayRequest request, Refusal refusal) {
    if (refusal != Refusal.QUARANTINED) {
      return "";
    }
    RequestKeys keys = request.keysOf(view.table().team(request.key()));
    RequestKey key = view.quarantinedKey(keys);
    if (key == null) {
      keys = request.keysOf(null);
      key = view.quarantinedKey(keys);
    }
    return quarantineFacts(key, keys);
  }

  private static String quarantineFacts(@Nullable RequestKey key, RequestKeys keys) {
    if (key == null) {
      return "";
    }
    String part = keys.partId(key);
    return " quarantined=" + key + (part == null ? "" : " part=" + abbreviate(part, MAX_LOGGED_ID));
  }

  /** Returns the quarantined key of an active request; empty if there is none. */
  String quarantineFacts(ActiveRelay relay) {
    return quarantineFacts(view.quarantinedKey(relay.keys), relay.keys);
  }

  /** Shortens a text that a caller chose, so that it can't fill the log's buffer. */
  private static String abbreviate(String text, int maxCharacters) {
    return text.substring(0, Math.min(maxCharacters, text.length()));
  }

  /** Reports requests that waited until the entry was ready; does nothing if there are none. */
  void released(Release<RelayRequest> release, Instant now, Output output) {
    if (!release.expired().isEmpty()) {
      output.effect(new TraceEffect.Count("relay_pending_expired", "", release.expired().size()));
    }
    if (!release.servable().isEmpty()) {
      String message =
          "event=pending_released count="
              + release.servable().size()
              + " longest_ms="
              + release.longestWait(now).toMillis()
              + " in_objective="
              + release.inObjective()
              + configurationFacts(now);
      output.effect(new TraceEffect.LogLine(false, PART, message));
    }
  }

  private void log(
      boolean warning, String event, ActiveRelay relay, String facts, Instant now, Output output) {
    String message =
        "event="
            + event
            + " id="
            + abbreviate(relay.request.id(), MAX_LOGGED_NAME)
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
            + configurationFacts(now);
    output.effect(new TraceEffect.LogLine(warning, PART, message));
  }

  private String configurationFacts(Instant now) {
    return " configuration="
        + view.table().configuration().version()
        + " proof_age_ms="
        + view.proofAge(now).toMillis();
  }
}
