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
import org.skylarkfork.core.crash.RequestKeys;
import org.skylarkfork.core.effect.CallerEffect;
import org.skylarkfork.core.ledger.Bill;
import org.skylarkfork.core.quality.AttemptOutcome;
import org.skylarkfork.core.request.AnswerMetadata;
import org.skylarkfork.core.request.CallerRequest;
import org.skylarkfork.core.request.RunState;
import org.skylarkfork.core.routing.Plan;

/** The mutable state of one request, from its arrival until its final frame is sent. */
final class ActiveRequest {

  /**
   * Time before the deadline at which a held answer is sent, so that its bill is durable in time.
   */
  private static final Duration DELIVERY_MARGIN = Duration.ofMillis(100);

  /** The event that a request waits for. */
  enum Phase {
    /** The pins of its session, from the session's owners. */
    PINS,
    /** The admission decision. */
    ADMISSION,
    /** The decision on its claim in the ledger. */
    CLAIM,
    /** The results of its attempts. */
    ATTEMPTS,
    /** The end of a backoff, because no upstream was free. */
    PAUSE,
    /** The rating of its held answer. */
    RATING,
    /** The confirmation that its outcome is recorded in the ledger. */
    RECORD,
    /** The confirmation that its bill is durable. */
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

  /** When the current phase times out, or null if only the deadline limits it. */
  @Nullable Instant phaseEnd;

  /** When this request is checked next; modified only by {@link ActiveRequests}. */
  Instant nextCheckAt;

  /** Revision of the configuration whose rule was matched. */
  long revision;

  Rule.Decision.@Nullable Route route;
  int priority;
  @Nullable Plan plan;

  /** Whether a plan must be made, for the first time or again. */
  boolean needsPlan = true;

  int step;

  /** Number of attempts for the current step. */
  int stepAttempts;

  /** Number of attempts over all steps. */
  int attempts;

  int backoffs;
  int replans;

  /** When the hedge of a lookup is due, or null if none is scheduled. */
  @Nullable Instant hedgeAt;

  /** Cost of the finished steps, in micros. */
  long costMicros;

  /** Prompt and completion tokens of the finished steps. */
  long tokens;

  @Nullable HeldAnswer heldAnswer;
  @Nullable AttemptOutcome heldOutcome;
  @Nullable HeldAnswer bestAnswer;

  /** Number of answer tokens sent to the caller. */
  long sentTokens;

  /** Whether the request waits for admission or holds an admission that must be released. */
  boolean inAdmission;

  boolean claimed;
  boolean billDurable;
  boolean streamStarted;

  /** Whether an upstream may have started to run an attempt. */
  boolean mayHaveStarted;

  /** Whether an upstream returned a complete answer. */
  boolean ran;

  /** Whether a non-idempotent call must not be retried, because an attempt may have started. */
  boolean retryForbidden;

  /** Whether the final frame, an answer or a refusal, was sent to the caller. */
  boolean answered;

  /** Whether the caller left or was refused at the deadline, so nothing more is sent to it. */
  boolean callerGone;

  /** Whether the answer is sampled for a rating after delivery, to estimate version quality. */
  boolean sampled;

  private @Nullable RequestKeys keys;
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

  /**
   * Returns the key of the claim and the bill: the idempotency key, or the request id if there is
   * none. A resend with the same key adds neither a claim nor a bill.
   */
  String key() {
    String key = request.idempotencyKey();
    return key == null ? request.requestId() : key;
  }

  /** Returns the request's keys, which are the same for a resend at any entry. */
  RequestKeys keys() {
    RequestKeys cached = keys;
    if (cached == null) {
      cached = CrashGuard.keysOf(team, request);
      keys = cached;
    }
    return cached;
  }

  /** Applies the route and the priority that a rule decided. */
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

  /** Returns whether tokens are forwarded to the caller as they arrive. */
  boolean streamsDirectly() {
    return request.stream() && !holdsAnswerForRating();
  }

  /** Returns whether the answer of the current step is held until it is rated. */
  boolean holdsAnswerForRating() {
    return currentStep().rated() && !isLastStep();
  }

  /** Returns the deadline, moved forward by the delivery margin if an answer is held. */
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

  AnswerMetadata facts(@Nullable ModelVersion version, @Nullable String upstream) {
    return new AnswerMetadata(
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
