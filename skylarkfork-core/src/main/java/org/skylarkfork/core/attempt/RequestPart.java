package org.skylarkfork.core.attempt;

import java.time.Instant;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.Part;
import org.skylarkfork.core.effect.LifecycleEffect;
import org.skylarkfork.core.event.AdmissionEvent;
import org.skylarkfork.core.event.CallerEvent;
import org.skylarkfork.core.event.Event;
import org.skylarkfork.core.event.LedgerEvent;
import org.skylarkfork.core.event.LifecycleEvent;
import org.skylarkfork.core.event.SessionEvent;
import org.skylarkfork.core.event.UpstreamEvent;
import org.skylarkfork.core.event.UpstreamEvent.Moment;

/**
 * Carries each request from its arrival to its one answer.
 *
 * <p>It stands behind the parts whose views it reads, and before admission, so that what it gives
 * back is handed on within the same event.
 */
public final class RequestPart implements Part {

  private final ActiveRequests requests = new ActiveRequests();
  private final RequestCollaborators parts;
  private final RequestSettings settings;
  private final Attempts attempts;
  private final Ending ending;
  private final RatingSampler sampler;
  private final DraftRun drafts;
  private final CallRun calls;
  private final Intake intake;
  private final CrashGuard crashes;
  private boolean stopping;
  private boolean drained;

  /**
   * Makes the part.
   *
   * @param parts the other parts that it asks
   * @param settings its bounds
   * @param seed for the spread of pauses and the drawing of samples
   */
  public RequestPart(RequestCollaborators parts, RequestSettings settings, long seed) {
    this.parts = parts;
    this.settings = settings;
    this.crashes = new CrashGuard(parts);
    UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(seed);
    this.attempts = new Attempts(requests, parts);
    this.ending = new Ending(requests, parts, attempts);
    this.sampler = new RatingSampler(settings, parts.quality(), random);
    Routes routes = new Routes(parts.configuration(), parts.ruleMatchers());
    Planning planning = new Planning(parts, routes);
    Retries retries = new Retries(requests, settings, random);
    this.drafts =
        new DraftRun(
            requests,
            parts,
            settings,
            planning,
            attempts,
            retries,
            new Cascade(requests, parts.quality(), settings),
            new DraftAnswer(requests, parts, planning, sampler, ending),
            ending,
            crashes);
    this.calls =
        new CallRun(
            requests, parts, settings, attempts, retries, new Hedging(settings), ending, crashes);
    this.intake = new Intake(requests, parts, settings, routes, ending, drafts, calls, crashes);
  }

  /** Returns how many requests are held and not yet ended. */
  public int activeRequests() {
    return requests.size();
  }

  /** Returns how many bytes of answers are held. */
  public long heldBytes() {
    return requests.heldBytes();
  }

  @Override
  public void apply(Event event, Instant now, Output output) {
    Turn turn = new Turn(now, output);
    if (event instanceof CallerEvent callerEvent) {
      caller(callerEvent, turn);
    } else if (event instanceof UpstreamEvent upstreamEvent) {
      upstream(upstreamEvent, turn);
    } else if (event instanceof LedgerEvent ledgerEvent) {
      ledger(ledgerEvent, turn);
    } else if (event instanceof AdmissionEvent admissionEvent) {
      admission(admissionEvent, turn);
    } else if (event instanceof SessionEvent.PinsResolved resolved) {
      ActiveRequest active = requests.find(resolved.requestId());
      if (active != null) {
        intake.pinsResolved(active, turn);
      }
    } else if (event instanceof LifecycleEvent lifecycleEvent) {
      lifecycle(lifecycleEvent, turn);
    }
    wakeDue(turn);
    drainWhenIdle(turn);
  }

  private void caller(CallerEvent event, Turn turn) {
    if (event instanceof CallerEvent.RequestReceived received) {
      intake.received(received.request(), turn);
    } else if (event instanceof CallerEvent.AnswerDelivered delivered) {
      requests.endDelivery(delivered.requestId());
    } else if (event instanceof CallerEvent.CallerLeft left) {
      requests.endDelivery(left.requestId());
      ActiveRequest active = requests.find(left.requestId());
      if (active != null && !active.callerGone) {
        ending.callerLeft(active, turn);
      }
    }
  }

  private void ledger(LedgerEvent event, Turn turn) {
    if (event instanceof LedgerEvent.ClaimAnswered answered) {
      ActiveRequest active = requests.find(answered.requestId());
      if (active == null) {
        ending.claimAnsweredLate(answered, turn);
      } else {
        calls.claimAnswered(active, answered, turn);
      }
    } else if (event instanceof LedgerEvent.OutcomeRecorded recorded) {
      ActiveRequest active = requests.find(recorded.requestId());
      if (active != null) {
        ending.recorded(active, recorded.durable(), turn);
      }
    } else if (event instanceof LedgerEvent.Billed billed) {
      ActiveRequest active = requests.find(billed.requestId());
      if (active != null) {
        ending.billed(active, billed.durable(), turn);
      }
    }
  }

  private void admission(AdmissionEvent event, Turn turn) {
    if (event instanceof AdmissionEvent.Admitted admitted) {
      ActiveRequest active = requests.find(admitted.requestId());
      if (active != null) {
        intake.admitted(active, turn);
      }
    } else if (event instanceof AdmissionEvent.WaitRefused refused) {
      ActiveRequest active = requests.find(refused.requestId());
      if (active != null) {
        intake.waitRefused(active, refused.error(), turn);
      }
    }
  }

  private void upstream(UpstreamEvent event, Turn turn) {
    if (event instanceof UpstreamEvent.TokensArrived tokens) {
      Answering found = find(tokens.attemptId(), tokens.echoedRequestId(), turn);
      if (found != null) {
        drafts.tokens(found.active, found.attempt, tokens, turn);
      }
    } else if (event instanceof UpstreamEvent.DraftFinished finished) {
      Answering found = find(finished.attemptId(), finished.echoedRequestId(), turn);
      if (found != null) {
        drafts.finished(found.active, found.attempt, finished, turn);
      }
    } else if (event instanceof UpstreamEvent.ServiceAnswered answered) {
      Answering found = find(answered.attemptId(), answered.echoedRequestId(), turn);
      if (found != null) {
        calls.answered(found.active, found.attempt, answered, turn);
      }
    } else if (event instanceof UpstreamEvent.AttemptFailed failed) {
      attemptFailed(failed, turn);
    } else if (event instanceof UpstreamEvent.UpstreamProbed probed) {
      crashes.probed(probed, turn);
    } else if (event instanceof UpstreamEvent.Rated rated) {
      rated(rated.requestId(), rated.attemptId(), rated.score(), turn);
    } else if (event instanceof UpstreamEvent.RatingMissing missing) {
      rated(missing.requestId(), missing.attemptId(), null, turn);
    }
  }

  /** An attempt and the request that it belongs to. */
  private record Answering(ActiveRequest active, Attempt attempt) {}

  /**
   * Finds the attempt that an answer belongs to.
   *
   * <p>An answer on a connection whose attempt was given up is late; one that names another request
   * is crossed. Either would reach the wrong caller, so it is dropped, and a crossed connection is
   * not believed again.
   */
  private @Nullable Answering find(String attemptId, @Nullable String echoed, Turn turn) {
    ActiveRequest active = requests.ofAttempt(attemptId);
    if (active == null) {
      turn.count("answers_late", "");
      return null;
    }
    Attempt attempt = active.running.get(attemptId);
    if (echoed != null && !echoed.equals(active.id())) {
      turn.count("answers_crossed", attempt.upstream);
      attempts.cancel(active, attempt, false, turn);
      failed(active, attempt, Moment.ANSWER_BEGUN, "the answer names another request", turn);
      return null;
    }
    return new Answering(active, attempt);
  }

  private void attemptFailed(UpstreamEvent.AttemptFailed event, Turn turn) {
    ActiveRequest active = requests.ofAttempt(event.attemptId());
    if (active == null) {
      turn.count("failures_late", event.moment().name());
      return;
    }
    Attempt attempt = active.running.get(event.attemptId());
    attempts.end(active, attempt, false, turn);
    failed(active, attempt, event.moment(), event.detail(), turn);
  }

  private void failed(
      ActiveRequest active, Attempt attempt, Moment moment, String detail, Turn turn) {
    turn.timeline("attempt.failed", active, attempt, moment + ": " + detail);
    turn.count("attempts_failed", moment.name());
    crashes.lost(active, attempt, moment, turn);
    if (active.request.kind().isDraft()) {
      drafts.failed(active, attempt, moment, detail, turn);
    } else {
      calls.failed(active, moment, detail, turn);
    }
  }

  private void rated(String requestId, String attemptId, @Nullable Double score, Turn turn) {
    ActiveRequest active = requests.find(requestId);
    if (active != null) {
      drafts.rated(active, attemptId, score, turn);
    }
    sampler.rated(attemptId, score, turn);
  }

  private void lifecycle(LifecycleEvent event, Turn turn) {
    if (event instanceof LifecycleEvent.StopRequested) {
      stopping = true;
    } else if (event instanceof LifecycleEvent.Ending) {
      turn.effect(new LifecycleEffect.EndProcess());
    } else if (event instanceof LifecycleEvent.Tick) {
      crashes.tick(turn);
      int forgotten = requests.forgetDeliveries(turn.now().minus(settings.deliveryWait()));
      if (forgotten > 0) {
        turn.count("deliveries_unknown", "");
      }
    }
  }

  private void wakeDue(Turn turn) {
    ActiveRequest due = requests.nextDue(turn.now());
    while (due != null) {
      wake(due, turn);
      due = requests.nextDue(turn.now());
    }
  }

  private void wake(ActiveRequest active, Turn turn) {
    if (!turn.now().isBefore(active.latestEnd())) {
      deadline(active, turn);
    }
    if (requests.find(active.id()) != active) {
      return;
    }
    switch (active.phase) {
      case PINS -> wakeForPins(active, turn);
      case PAUSE -> wakeAfterPause(active, turn);
      case RATING -> wakeForRating(active, turn);
      case BILL -> ending.billAgain(active, turn);
      case ATTEMPTS -> wakeForAttempts(active, turn);
      default -> {
        // Admission and the ledger tell by themselves when they are done.
      }
    }
  }

  private void deadline(ActiveRequest active, Turn turn) {
    boolean served = active.request.kind().isDraft() && drafts.deliverBest(active, turn);
    if (!served && !turn.now().isBefore(active.request.deadline())) {
      ending.deadline(active, turn);
    }
  }

  private boolean isOver(ActiveRequest active, Turn turn) {
    Instant end = active.phaseEnd;
    if (end == null || !end.isAfter(turn.now())) {
      return true;
    }
    requests.wakeBy(active, end);
    return false;
  }

  private void wakeForPins(ActiveRequest active, Turn turn) {
    if (isOver(active, turn)) {
      turn.count("pins_unresolved", "");
      intake.pinsResolved(active, turn);
    }
  }

  private void wakeAfterPause(ActiveRequest active, Turn turn) {
    if (!isOver(active, turn)) {
      return;
    }
    if (active.request.kind().isDraft()) {
      drafts.resume(active, turn);
    } else {
      calls.dispatch(active, turn);
    }
  }

  private void wakeForRating(ActiveRequest active, Turn turn) {
    HeldAnswer held = active.held;
    if (held != null && isOver(active, turn)) {
      drafts.rated(active, held.attemptId(), null, turn);
    }
  }

  /** Fails attempts that are silent for too long, and hedges a slow lookup. */
  private void wakeForAttempts(ActiveRequest active, Turn turn) {
    for (Attempt attempt : List.copyOf(active.running.values())) {
      if (attempt.silentAt().isAfter(turn.now())) {
        requests.wakeBy(active, attempt.silentAt());
      } else if (active.running.containsKey(attempt.id)) {
        attempts.cancel(active, attempt, false, turn);
        Moment moment = attempt.tokens > 0 ? Moment.ANSWER_BEGUN : Moment.WRITTEN;
        failed(active, attempt, moment, "the upstream was silent for too long", turn);
      }
    }
    if (requests.find(active.id()) == active) {
      calls.hedge(active, turn);
    }
  }

  /** Lets the daemon end once no caller can come any more and none is still served. */
  private void drainWhenIdle(Turn turn) {
    boolean done =
        stopping
            && !drained
            && requests.isIdle()
            && parts.ledger().isSettled()
            && !parts.listing().acceptsNewWork(turn.now());
    if (done) {
      drained = true;
      turn.output().raise(new LifecycleEvent.Ending());
    }
  }
}
