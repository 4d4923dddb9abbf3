package org.skylarkfork.core.ledger;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.Invariants;
import org.skylarkfork.core.command.CommandResult;
import org.skylarkfork.core.command.LedgerCommand.Claim;
import org.skylarkfork.core.command.LedgerCommand.RecordOutcome;
import org.skylarkfork.core.command.LedgerResult.ClaimDecided;
import org.skylarkfork.core.command.LedgerResult.ClaimsFull;
import org.skylarkfork.core.event.LedgerEvent.ClaimState;
import org.skylarkfork.core.request.Bytes;
import org.skylarkfork.core.request.Header;

/**
 * The claims of a ledger group.
 *
 * <p>A key is free until a request claims it, and again once that request has recorded that it did
 * not run. In between, the claim of every other request is answered {@code IN_PROGRESS} until the
 * hold ends, then with an unknown outcome, and with the recorded outcome as soon as there is one.
 */
final class ClaimTable {

  private static final int MAX_RELEASED_IDS = 8;
  private static final Duration MAX_HOLD = Duration.ofHours(1);
  private static final ClaimOutcome.Unknown NO_OUTCOME =
      new ClaimOutcome.Unknown(
          "the entry that ran it recorded no outcome in time; don't resend, ask the service");
  private static final String FULL_REMEDY =
      "the ledger keeps as many claims as it may; resend later, the request was not run";

  private final LedgerBounds bounds;
  private final Map<ClaimKey, ClaimRecord> records = new LinkedHashMap<>();
  private final Set<ClaimKey> withBody = new LinkedHashSet<>();
  private final PriorityQueue<Expiry> expiries =
      new PriorityQueue<>(Comparator.comparing(Expiry::at));
  private long bodyBytes;

  ClaimTable(LedgerBounds bounds) {
    this.bounds = bounds;
  }

  /** Decides a claim. */
  CommandResult claim(Claim claim, Instant time) {
    ClaimKey claimKey = new ClaimKey(claim.team(), claim.key());
    ClaimRecord known = records.get(claimKey);
    if (known == null) {
      return records.size() < bounds.maxClaims()
          ? grant(claimKey, claim, List.of(), time)
          : new ClaimsFull(FULL_REMEDY);
    }
    if (!known.bodyHash().isEmpty() && !known.bodyHash().equals(claim.bodyHash())) {
      return new ClaimDecided(ClaimState.MISMATCH, null);
    }
    if (known.isFree()) {
      return claimReleased(known, claim, time);
    }
    if (known.outcome() != null) {
      return new ClaimDecided(ClaimState.RECORDED, known.outcome());
    }
    if (known.requestId().equals(claim.requestId())) {
      return new ClaimDecided(ClaimState.GRANTED, null);
    }
    return time.isBefore(known.unknownFrom())
        ? new ClaimDecided(ClaimState.IN_PROGRESS, null)
        : new ClaimDecided(ClaimState.RECORDED, NO_OUTCOME);
  }

  // A claim that its entry abandoned may arrive after the command that releases it. Granting the
  // claim then would assign the key to a request that no entry runs, and the outcome of each resend
  // would be unknown.
  private CommandResult claimReleased(ClaimRecord known, Claim claim, Instant time) {
    if (known.released().contains(claim.requestId())) {
      return new ClaimDecided(ClaimState.RECORDED, known.outcome());
    }
    return grant(known.claimKey(), claim, known.released(), time);
  }

  private CommandResult grant(ClaimKey claimKey, Claim claim, List<String> released, Instant time) {
    ClaimRecord known = records.get(claimKey);
    Invariants.check(known == null || known.isFree(), "a key is granted to one request at a time");
    long holdMillis = Math.max(0, Math.min(claim.holdMillis(), MAX_HOLD.toMillis()));
    Instant unknownFrom = time.plusMillis(holdMillis);
    put(
        new ClaimRecord(
            claimKey,
            claim.requestId(),
            claim.bodyHash(),
            claim.entry(),
            unknownFrom,
            null,
            unknownFrom.plus(bounds.claimRetention()),
            released));
    return new ClaimDecided(ClaimState.GRANTED, null);
  }

  /**
   * Records an outcome. The first outcome is final, except that an answer replaces an unknown one.
   */
  CommandResult recordOutcome(RecordOutcome command, Instant time) {
    ClaimKey claimKey = new ClaimKey(command.team(), command.key());
    ClaimRecord known = records.get(claimKey);
    if (command.outcome() instanceof ClaimOutcome.NotRun) {
      return release(claimKey, known, command, time);
    }
    if (known == null || !known.requestId().equals(command.requestId())) {
      return new CommandResult.Rejected(
          "the request does not hold the claim; record outcomes of granted claims only");
    }
    if (known.outcome() == null || resolvesUnknown(known.outcome(), command.outcome())) {
      put(withOutcome(known, command.outcome(), time.plus(bounds.claimRetention())));
      limitBodies();
      return new CommandResult.Done();
    }
    return known.isFree()
        ? new CommandResult.Rejected("the claim was given up as not run and must not have run")
        : new CommandResult.Done();
  }

  private static boolean resolvesUnknown(ClaimOutcome known, ClaimOutcome next) {
    return known instanceof ClaimOutcome.Unknown && next instanceof ClaimOutcome.Answered;
  }

  private CommandResult release(
      ClaimKey claimKey, @Nullable ClaimRecord known, RecordOutcome command, Instant time) {
    Instant expiresAt = time.plus(bounds.releasedClaimRetention());
    if (known == null) {
      put(
          new ClaimRecord(
              claimKey,
              command.requestId(),
              "",
              "",
              time,
              command.outcome(),
              expiresAt,
              List.of(command.requestId())));
      return new CommandResult.Done();
    }
    if (known.released().contains(command.requestId())) {
      return new CommandResult.Done();
    }
    List<String> released = withReleased(known.released(), command.requestId());
    if (!known.requestId().equals(command.requestId())) {
      put(withReleasedIds(known, released));
      return new CommandResult.Done();
    }
    if (known.outcome() != null) {
      return new CommandResult.Rejected(
          "an outcome is recorded already; a claim that may have run can't be given up");
    }
    put(withReleasedIds(withOutcome(known, command.outcome(), expiresAt), released));
    return new CommandResult.Done();
  }

  private static List<String> withReleased(List<String> released, String requestId) {
    List<String> all = new ArrayList<>(released);
    all.add(requestId);
    return all.subList(Math.max(0, all.size() - MAX_RELEASED_IDS), all.size());
  }

  private ClaimRecord withOutcome(ClaimRecord known, ClaimOutcome outcome, Instant expiresAt) {
    return new ClaimRecord(
        known.claimKey(),
        known.requestId(),
        known.bodyHash(),
        known.entry(),
        known.unknownFrom(),
        bounded(outcome),
        expiresAt,
        known.released());
  }

  private static ClaimRecord withReleasedIds(ClaimRecord known, List<String> released) {
    return new ClaimRecord(
        known.claimKey(),
        known.requestId(),
        known.bodyHash(),
        known.entry(),
        known.unknownFrom(),
        known.outcome(),
        known.expiresAt(),
        released);
  }

  private ClaimOutcome bounded(ClaimOutcome outcome) {
    return outcome instanceof ClaimOutcome.Answered answered
            && answered.body().value().length > bounds.maxBodyBytes()
        ? withoutBody(answered)
        : outcome;
  }

  /** Returns the answer without its body, with a header that marks it as incomplete. */
  static ClaimOutcome.Answered withoutBody(ClaimOutcome.Answered answered) {
    List<Header> headers = new ArrayList<>(answered.headers());
    headers.add(LedgerMachine.BODY_DROPPED);
    return new ClaimOutcome.Answered(answered.status(), headers, Bytes.EMPTY, answered.facts());
  }

  private void limitBodies() {
    while (bodyBytes > bounds.maxTotalBodyBytes()) {
      ClaimKey oldest = withBody.iterator().next();
      ClaimRecord known = records.get(oldest);
      if (known.outcome() instanceof ClaimOutcome.Answered answered) {
        put(withOutcome(known, withoutBody(answered), known.expiresAt()));
      }
    }
  }

  private void put(ClaimRecord next) {
    remove(next.claimKey());
    records.put(next.claimKey(), next);
    expiries.add(new Expiry(next.expiresAt(), next.claimKey()));
    if (next.bodyBytes() > 0) {
      withBody.add(next.claimKey());
      bodyBytes += next.bodyBytes();
    }
  }

  private void remove(ClaimKey claimKey) {
    ClaimRecord known = records.remove(claimKey);
    if (known != null && withBody.remove(claimKey)) {
      bodyBytes -= known.bodyBytes();
    }
  }

  /** Removes the records that expire at or before the given time. */
  void expire(Instant time) {
    while (!expiries.isEmpty() && !expiries.peek().at().isAfter(time)) {
      Expiry due = expiries.remove();
      ClaimRecord known = records.get(due.claimKey());
      if (known != null && !known.expiresAt().isAfter(time)) {
        remove(due.claimKey());
      }
    }
  }

  /** Returns all records in the order of their last change. */
  Collection<ClaimRecord> all() {
    return records.values();
  }

  /** Replaces all records with those of a snapshot. */
  void restore(List<ClaimRecord> claims) {
    records.clear();
    withBody.clear();
    expiries.clear();
    bodyBytes = 0;
    claims.forEach(this::put);
  }

  private record Expiry(Instant at, ClaimKey claimKey) {}
}
