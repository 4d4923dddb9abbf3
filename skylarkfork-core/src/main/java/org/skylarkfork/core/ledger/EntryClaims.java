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

/** An entry's claims and outcomes on their way to the ledger groups. */
final class EntryClaims {

  private static final Duration OUTCOME_TRY = Duration.ofSeconds(10);
  private static final ClaimOutcome.NotRun GIVEN_UP =
      new ClaimOutcome.NotRun("the ledger was out of reach, so the request was refused unsent");

  private final LedgerSettings settings;
  private final LedgerShards shards;
  private final Submitter submitter;
  private final Deque<Claim> newClaims = new ArrayDeque<>();
  private final Map<String, Instant> claimDeadlines = new HashMap<>();
  private final Deque<PendingOutcome> newOutcomes = new ArrayDeque<>();
  private final List<PendingOutcome> laterOutcomes = new ArrayList<>();
  private final Map<Long, Claim> claims = new HashMap<>();
  private final Map<Long, PendingOutcome> outcomes = new HashMap<>();

  EntryClaims(LedgerSettings settings, LedgerShards shards, Submitter submitter) {
    this.settings = settings;
    this.shards = shards;
    this.submitter = submitter;
  }

  /** Takes a claim, to be submitted by the next call of {@link #drain}. */
  void claim(Claim claim, Instant deadline) {
    newClaims.add(claim);
    claimDeadlines.put(claim.requestId(), deadline);
  }

  /** Takes an outcome, to be submitted by the next call of {@link #drain}. */
  void recordOutcome(RecordOutcome command, Instant now) {
    newOutcomes.add(new PendingOutcome(command, now.plus(settings.resubmitTimeout()), true));
  }

  /**
   * Takes up outcomes whose submission failed; not before, since one that fails at once would else
   * keep the reducer busy with one event for ever.
   */
  void onTick() {
    newOutcomes.addAll(laterOutcomes);
    laterOutcomes.clear();
  }

  /** Submits what was taken. */
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
    Duration patience = pending.isAwaited ? settings.outcomeTimeout() : OUTCOME_TRY;
    long id = submitter.newSubmissionId();
    outcomes.put(id, pending);
    submitter.submit(
        shards.shardOf(command.team(), command.key()),
        command,
        id,
        now.plus(patience),
        now,
        output);
  }

  /** Takes the result of a submission and returns whether it was one of these. */
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
      warn("an outcome was refused: " + result, output);
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

  /** Takes the failure of a submission and returns whether it was one of these. */
  boolean onFailed(long submissionId, boolean mayHaveApplied, Instant now, Output output) {
    Claim claim = claims.remove(submissionId);
    if (claim != null) {
      answer(claim, new ClaimDecided(ClaimState.UNAVAILABLE, null), output);
      if (mayHaveApplied) {
        giveUp(claim, now);
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
    if (now.isBefore(pending.until)) {
      laterOutcomes.add(new PendingOutcome(pending.command, pending.until, false));
    } else {
      warn("gave up recording the outcome of " + pending.command.requestId(), output);
    }
    return true;
  }

  // The caller is told that the request was not run, so a resend must be able to run. The claim may
  // stand, or still be on its way; unless it is given up, each resend would be told to wait and
  // then never to resend. A claim that comes after this is not granted either.
  private void giveUp(Claim claim, Instant now) {
    RecordOutcome release =
        new RecordOutcome(claim.team(), claim.key(), claim.requestId(), GIVEN_UP);
    laterOutcomes.add(new PendingOutcome(release, now.plus(settings.resubmitTimeout()), false));
  }

  /** Returns whether nothing is on its way. */
  boolean isSettled() {
    return newClaims.isEmpty()
        && newOutcomes.isEmpty()
        && laterOutcomes.isEmpty()
        && claims.isEmpty()
        && outcomes.isEmpty();
  }

  private static void warn(String sentence, Output output) {
    output.effect(new TraceEffect.LogLine(true, "ledger", sentence));
  }

  private record PendingOutcome(RecordOutcome command, Instant until, boolean isAwaited) {}
}
