package org.skylarkfork.core.attempt;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.configuration.ModelVersion;
import org.skylarkfork.core.configuration.Rule;
import org.skylarkfork.core.crash.RequestKey;
import org.skylarkfork.core.effect.CallerEffect;
import org.skylarkfork.core.ledger.Bill;
import org.skylarkfork.core.quality.AttemptOutcome;
import org.skylarkfork.core.request.AnswerFacts;
import org.skylarkfork.core.request.CallerRequest;
import org.skylarkfork.core.request.RunState;
import org.skylarkfork.core.routing.Plan;

/** The state of one request from its arrival until its last frame is handed over. */
final class ActiveRequest {

  /** How long before the deadline a held answer goes out, so that its bill is safe in time. */
  private static final Duration DELIVERY_MARGIN = Duration.ofMillis(100);

  /** What a request waits for. */
  enum Phase {
    /** The owners of its session. */
    PINS,
    /** Its admission. */
    ADMISSION,
    /** The decision on its claim. */
    CLAIM,
    /** Its attempts. */
    ATTEMPTS,
    /** A free upstream. */
    PAUSE,
    /** The rating of a held answer. */
    RATING,
    /** The record of its outcome. */
    RECORD,
    /** Its bill. */
    BILL
  }

  final CallerRequest request;
  final String team;
  final boolean idempotent;
  final Instant arrivedAt;
  final Map<String, Attempt> running = new LinkedHashMap<>();
  final Set<String> triedUpstreams = new HashSet<>();
  final Set<ModelVersion> finishedVersions = new HashSet<>();
  final AnswerBuffer answer = new AnswerBuffer();

  Phase phase = Phase.ADMISSION;

  /** When the present phase is over, if it has an end of its own. */
  @Nullable Instant phaseEnd;

  /** When this request is looked at next; changed only by {@link ActiveRequests}. */
  Instant nextCheckAt;

  /** Revision of the configuration whose rule decided. */
  long revision;

  Rule.Decision.@Nullable Route route;
  int priority;
  @Nullable Plan plan;

  /** Whether the plan is yet to be made, for the first time or anew. */
  boolean needsPlan = true;

  int step;

  /** Attempts for the present step, and over all steps. */
  int stepAttempts;

  int attempts;
  int backoffs;
  int replans;

  /** When a second attempt of a lookup is due, or null if none is or was. */
  @Nullable Instant hedgeAt;

  /** Cost and tokens of finished steps. */
  long costMicros;

  long tokens;
  @Nullable HeldAnswer heldAnswer;
  @Nullable AttemptOutcome heldOutcome;
  @Nullable HeldAnswer bestAnswer;

  /** Tokens of the answer that the caller got. */
  long sentTokens;

  /** Whether it waits for admission or holds what admission gave. */
  boolean inAdmission;

  boolean claimed;
  boolean billDurable;
  boolean streamStarted;

  /** Whether some attempt may have been started by its upstream. */
  boolean mayHaveStarted;

  /** Whether a whole answer came from an upstream. */
  boolean ran;

  /** Whether an attempt ended in a way after which a non-idempotent call may not be sent again. */
  boolean retryForbidden;

  /** Whether the caller got its one answer or refusal. */
  boolean answered;

  /** Whether nobody waits for the answer any more. */
  boolean callerGone;

  /** Whether the answer is rated afterwards, for what is known of its version. */
  boolean sampled;

  private @Nullable RequestKey contentKey;
  @Nullable String sessionToken;
  @Nullable String notice;
  @Nullable Bill bill;
  @Nullable CallerEffect lastEffect;

  ActiveRequest(CallerRequest request, String team, boolean idempotent, Instant now) {
    this.request = request;
    this.team = team;
    this.idempotent = idempotent;
    this.arrivedAt = now;
    this.nextCheckAt = request.deadline();
    this.priority = request.priority();
  }

  String id() {
    return request.requestId();
  }

  /** Returns the key of its claim and bill: a resend with the same key adds none. */
  String key() {
    String key = request.idempotencyKey();
    return key == null ? request.requestId() : key;
  }

  /** Returns what it has in common with the same request sent again, at whatever entry. */
  RequestKey contentKey() {
    RequestKey cached = contentKey;
    if (cached == null) {
      cached = CrashGuard.keyOf(team, request);
      contentKey = cached;
    }
    return cached;
  }

  /** Takes over the decision of a rule. */
  void applyRoute(Rule.Decision.Route decision) {
    route = decision;
    Integer override = decision.priority();
    priority = override == null ? request.priority() : override;
  }

  Plan.Step currentStep() {
    return Objects.requireNonNull(plan).steps().get(step);
  }

  boolean isLastStep() {
    return step + 1 >= Objects.requireNonNull(plan).steps().size();
  }

  /** Returns whether its tokens go to the caller as they come. */
  boolean streamsDirectly() {
    return request.stream() && !holdsAnswerForRating();
  }

  /** Returns whether the present step's answer waits for its rating. */
  boolean holdsAnswerForRating() {
    return currentStep().rated() && !isLastStep();
  }

  /** Returns when the request must end, or a held answer must go out to be there in time. */
  Instant effectiveDeadline() {
    boolean hasAnswer = heldAnswer != null || bestAnswer != null;
    return hasAnswer ? request.deadline().minus(DELIVERY_MARGIN) : request.deadline();
  }

  RunState runState() {
    if (ran) {
      return RunState.RAN;
    }
    return mayHaveStarted || !running.isEmpty() ? RunState.UNKNOWN : RunState.NOT_RUN;
  }

  AnswerFacts facts(@Nullable ModelVersion version, @Nullable String upstream) {
    return new AnswerFacts(
        id(),
        version == null ? null : version.model(),
        version == null ? null : version.version(),
        upstream,
        attempts,
        costMicros,
        sessionToken,
        notice);
  }
}
