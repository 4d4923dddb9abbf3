package org.skylarkfork.core.ledger;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.command.CommandResult;
import org.skylarkfork.core.command.LedgerCommand.Claim;
import org.skylarkfork.core.command.LedgerCommand.RecordOutcome;
import org.skylarkfork.core.command.LedgerResult.ClaimDecided;
import org.skylarkfork.core.consensus.Submitter;
import org.skylarkfork.core.effect.TraceEffect;
import org.skylarkfork.core.event.LedgerEvent.ClaimAnswered;
import org.skylarkfork.core.event.LedgerEvent.ClaimState;
import org.skylarkfork.core.event.LedgerEvent.OutcomeRecorded;

/** Submits an entry's claims and outcomes to the ledger groups, and retries failed outcomes. */
final class EntryClaims {

  private static final Duration OUTCOME_RETRY_TIMEOUT = Duration.ofSeconds(10);
  private static final ClaimOutcome.NotRun ABANDONED =
      new ClaimOutcome.NotRun("the ledger was out of reach, so the request was refused unsent");

  private final LedgerSettings settings;
  private final LedgerShards shards;
  private final Submitter submitter;
  private final Deque<Claim> newClaims = new ArrayDeque<>();
  private final Map<String, Instant> claimDeadlines = new HashMap<>();
  private final Deque<PendingOutcome> newOutcomes = new ArrayDeque<>();
  private final List<PendingOutcome> failedOutcomes = new ArrayList<>();
  private final Map<Long, Claim> claims = new HashMap<>();
  private final Map<Long, PendingOutcome> outcomes = new HashMap<>();

  EntryClaims(LedgerSettings settings, LedgerShards shards, Submitter submitter) {
    this.settings = settings;
    this.shards = shards;
    this.submitter = submitter;
  }

  /** Queues a claim, which is submitted by the next call of {@link #drain}. */
  void claim(Claim claim, Instant deadline) {
    newClaims.add(claim);
    claimDeadlines.put(claim.requestId(), deadline);
  }

  /** Queues an outcome, which is submitted by the next call of {@link #drain}. */
  void recordOutcome(RecordOutcome command, Instant now) {
    newOutcomes.add(new PendingOutcome(command, now.plus(settings.resubmitTimeout()), true));
  }

  /**
   * Queues the outcomes whose submission failed. They wait for a tick, since a submission that
   * fails at once would otherwise keep the reducer processing one event forever.
   */
  void onTick() {
    newOutcomes.addAll(failedOutcomes);
    failedOutcomes.clear();
  }

  /** Submits the queued claims and outcomes. */
  void drain(Instant now, Output output) {
    for (Claim claim = newClaims.poll(); claim != null; claim = newClaims.poll()) {
      submit(claim, now, output);
    }
    List<PendingOutcome> due = new ArrayList<>(newOutcomes);
    newOutcomes.clear();
    due.forEach(outcome -> submit(outcome, now, output));
  }

  private void submit(Claim claim, Instant now, Output output) {
    Instant latest = now.plus(settings.claimTimeout());
    Instant deadline = claimDeadlines.remove(claim.requestId());
    if (claims.size() >= settings.maxPendingClaims()) {
      answer(claim, new ClaimDecided(ClaimState.UNAVAILABLE, null), output);
      return;
    }
    long id = submitter.newSubmissionId();
    claims.put(id, claim);
    submitter.submit(
        shards.shardOf(claim.team(), claim.key()),
        claim,
        id,
        deadline != null && deadline.isBefore(latest) ? deadline : latest,
        now,
        output);
  }

  private void submit(PendingOutcome pending, Instant now, Output output) {
    RecordOutcome command = pending.command;
    Duration timeout = pending.isAwaited ? settings.outcomeTimeout() : OUTCOME_RETRY_TIMEOUT;
    long id = submitter.newSubmissionId();
    outcomes.put(id, pending);
    submitter.submit(
        shards.shardOf(command.team(), command.key()), command, id, now.plus(timeout), now, output);
  }

  /**
   * Handles the result of a submission.
   *
   * @return whether the submission is one of this object's claims or outcomes
   */
  boolean onAnswered(long submissionId, CommandResult result, Output output) {
    Claim claim = claims.remove(submissionId);
    if (claim != null) {
      answer(claim, decided(result), output);
      return true;
    }
    PendingOutcome pending = outcomes.remove(submissionId);
    if (pending == null) {
      return false;
    }
    boolean done = result instanceof CommandResult.Done;
    if (!done) {
      warn("the ledger rejected an outcome: " + result, output);
    }
    if (pending.isAwaited) {
      output.raise(new OutcomeRecorded(pending.command.requestId(), done));
    }
    return true;
  }

  private static ClaimDecided decided(CommandResult result) {
    return result instanceof ClaimDecided decided
        ? decided
        : new ClaimDecided(ClaimState.UNAVAILABLE, null);
  }

  private static void answer(Claim claim, ClaimDecided decided, Output output) {
    output.raise(new ClaimAnswered(claim.requestId(), decided.state(), decided.outcome()));
    output.effect(new TraceEffect.Count("ledger_claims", decided.state().name(), 1));
  }

  /**
   * Handles the failure of a submission.
   *
   * @return whether the submission is one of this object's claims or outcomes
   */
  boolean onFailed(long submissionId, boolean mayHaveApplied, Instant now, Output output) {
    Claim claim = claims.remove(submissionId);
    if (claim != null) {
      answer(claim, new ClaimDecided(ClaimState.UNAVAILABLE, null), output);
      if (mayHaveApplied) {
        abandon(claim, now);
      }
      return true;
    }
    PendingOutcome pending = outcomes.remove(submissionId);
    if (pending == null) {
      return false;
    }
    if (pending.isAwaited) {
      output.raise(new OutcomeRecorded(pending.command.requestId(), false));
    }
    if (now.isBefore(pending.retryUntil)) {
      failedOutcomes.add(new PendingOutcome(pending.command, pending.retryUntil, false));
    } else {
      warn("stops retrying to record the outcome of " + pending.command.requestId(), output);
    }
    return true;
  }

  // The caller receives an answer that the request was not run, so a resend must be able to run.
  // The claim may have been granted or may still be in flight. Unless it is released, each resend
  // would be answered "in progress" and later "outcome unknown". A claim that arrives after its
  // release is not granted either.
  private void abandon(Claim claim, Instant now) {
    RecordOutcome release =
        new RecordOutcome(claim.team(), claim.key(), claim.requestId(), ABANDONED);
    failedOutcomes.add(new PendingOutcome(release, now.plus(settings.resubmitTimeout()), false));
  }

  /** Returns whether no claim or outcome is queued or in flight. */
  boolean isSettled() {
    return newClaims.isEmpty()
        && newOutcomes.isEmpty()
        && failedOutcomes.isEmpty()
        && claims.isEmpty()
        && outcomes.isEmpty();
  }

  private static void warn(String sentence, Output output) {
    output.effect(new TraceEffect.LogLine(true, "ledger", sentence));
  }

  private record PendingOutcome(RecordOutcome command, Instant retryUntil, boolean isAwaited) {}
}
