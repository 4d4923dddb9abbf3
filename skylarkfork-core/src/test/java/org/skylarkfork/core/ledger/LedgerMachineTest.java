package org.skylarkfork.core.ledger;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.skylarkfork.core.command.CommandResult;
import org.skylarkfork.core.command.LedgerCommand;
import org.skylarkfork.core.command.LedgerResult.BillsRecorded;
import org.skylarkfork.core.command.LedgerResult.ClaimDecided;
import org.skylarkfork.core.command.LedgerResult.ClaimsFull;
import org.skylarkfork.core.event.LedgerEvent.ClaimState;
import org.skylarkfork.core.request.AnswerMetadata;
import org.skylarkfork.core.request.Bytes;
import org.testng.annotations.Test;

/** Tests the decisions of the replicated ledger. */
public class LedgerMachineTest {

  private static final Instant START = Instant.parse("2026-12-02T08:00:00Z");
  private static final LedgerBounds SMALL =
      new LedgerBounds(
          2,
          8,
          12,
          Duration.ofHours(24),
          Duration.ofMinutes(10),
          3,
          Duration.ofHours(24),
          Duration.ofHours(1));

  private Instant now = START;
  private long index;

  private CommandResult apply(LedgerMachine machine, LedgerCommand command) {
    index++;
    return machine.apply(index, now, command);
  }

  private ClaimState claim(LedgerMachine machine, String key, String requestId) {
    CommandResult result = apply(machine, claimCommand(key, requestId, "hash"));
    return ((ClaimDecided) result).state();
  }

  private static LedgerCommand claimCommand(String key, String requestId, String hash) {
    return new LedgerCommand.Claim("club", key, requestId, hash, "entry-1", 30_000);
  }

  private CommandResult outcome(LedgerMachine machine, String requestId, ClaimOutcome outcome) {
    return apply(machine, new LedgerCommand.RecordOutcome("club", "k", requestId, outcome));
  }

  static ClaimOutcome.Answered answered(String body) {
    AnswerMetadata metadata = new AnswerMetadata("r", null, null, null, 1, 0, null, null);
    return new ClaimOutcome.Answered(201, List.of(), Bytes.ofText(body), metadata);
  }

  static Bill bill(String requestId, String key, long costMicros) {
    return new Bill(requestId, "club", key, "ruling-small", "2", costMicros, false);
  }

  private void advanceBySteps(LedgerMachine machine, Duration duration) {
    Instant end = now.plus(duration);
    while (now.isBefore(end)) {
      now = now.plus(BoundedStepClock.MAX_STEP);
      apply(machine, new LedgerCommand.ReadStatement("club"));
    }
  }

  @Test
  public void keyIsGrantedToOneRequestUntilItsRelease() {
    LedgerMachine machine = new LedgerMachine(LedgerBounds.DEFAULT);
    assertEquals(claim(machine, "k", "r1"), ClaimState.GRANTED);
    assertEquals(claim(machine, "k", "r1"), ClaimState.GRANTED);
    assertEquals(claim(machine, "k", "r2"), ClaimState.IN_PROGRESS);
    assertEquals(
        apply(machine, claimCommand("k", "r3", "other")),
        new ClaimDecided(ClaimState.MISMATCH, null));
    outcome(machine, "r1", new ClaimOutcome.NotRun("no connection"));
    assertEquals(claim(machine, "k", "r2"), ClaimState.GRANTED);
    assertEquals(claim(machine, "k", "r1"), ClaimState.IN_PROGRESS);
    outcome(machine, "r2", answered("yes"));
    assertEquals(
        apply(machine, claimCommand("k", "r4", "hash")),
        new ClaimDecided(ClaimState.RECORDED, answered("yes")));
    assertTrue(
        outcome(machine, "r2", new ClaimOutcome.NotRun("late")) instanceof CommandResult.Rejected);
    assertEquals(claim(machine, "k", "r5"), ClaimState.RECORDED);
  }

  // Guards against a second run of a request whose entry is lost after it claimed the key and sent
  // the call. A resend through another entry is in progress until the hold of the first entry ends.
  // After that the outcome is unknown, unless the first entry was only slow and still records it.
  @Test
  public void claimOfLostEntryBecomesUnknownAndIsNeverGrantedAgain() {
    LedgerMachine machine = new LedgerMachine(LedgerBounds.DEFAULT);
    claim(machine, "k", "r1");
    now = now.plusSeconds(29);
    assertEquals(claim(machine, "k", "r2"), ClaimState.IN_PROGRESS);
    now = now.plusSeconds(2);
    ClaimDecided decided = (ClaimDecided) apply(machine, claimCommand("k", "r3", "hash"));
    assertTrue(decided.outcome() instanceof ClaimOutcome.Unknown);
    outcome(machine, "r1", answered("late"));
    assertEquals(claim(machine, "k", "r4"), ClaimState.RECORDED);
  }

  // Guards against a resend that can never run. The caller received "not run" while the group had
  // no leader. The release of the claim overtakes the claim itself; if the late claim were granted,
  // no entry would run it and the outcome of the resend would be unknown.
  @Test
  public void claimThatArrivesAfterItsReleaseIsNotGranted() {
    LedgerMachine machine = new LedgerMachine(LedgerBounds.DEFAULT);
    outcome(machine, "r1", new ClaimOutcome.NotRun("no leader"));
    assertEquals(claim(machine, "k", "r1"), ClaimState.RECORDED);
    assertEquals(claim(machine, "k", "r2"), ClaimState.GRANTED);
    outcome(machine, "r2", new ClaimOutcome.NotRun("refused"));
    assertEquals(claim(machine, "k", "r1"), ClaimState.RECORDED);
    assertEquals(claim(machine, "k", "r3"), ClaimState.GRANTED);
  }

  @Test
  public void fullTableRefusesNewKeysAndMarksDroppedBodies() {
    LedgerMachine machine = new LedgerMachine(SMALL);
    claim(machine, "k", "r1");
    outcome(machine, "r1", answered("12345678"));
    claim(machine, "l", "r2");
    apply(machine, new LedgerCommand.RecordOutcome("club", "l", "r2", answered("1234567")));
    assertTrue(apply(machine, claimCommand("m", "r3", "hash")) instanceof ClaimsFull);
    ClaimDecided first = (ClaimDecided) apply(machine, claimCommand("k", "r4", "hash"));
    ClaimOutcome.Answered kept = (ClaimOutcome.Answered) first.outcome();
    assertEquals(kept.headers(), List.of(LedgerMachine.BODY_DROPPED));
    assertEquals(kept.body(), Bytes.EMPTY);
    advanceBySteps(machine, Duration.ofHours(25));
    assertEquals(claim(machine, "m", "r5"), ClaimState.GRANTED);
  }

  // Guards against a second run of a request that is resent minutes after its answer. A new
  // leader's clock is two days ahead; without a limit, its first command would expire every claim.
  @Test
  public void jumpOfLeaderClockExpiresNoClaim() {
    LedgerMachine machine = new LedgerMachine(LedgerBounds.DEFAULT);
    claim(machine, "k", "r1");
    outcome(machine, "r1", answered("yes"));
    now = now.plus(Duration.ofDays(2));
    assertEquals(claim(machine, "k", "r2"), ClaimState.RECORDED);
    now = START;
    assertEquals(claim(machine, "k", "r3"), ClaimState.RECORDED);
  }

  // Guards against double billing. An entry resubmits a batch after a lost answer, its backup
  // submits the bills too in other batches, and another entry bills a caller's resend.
  @Test
  public void billsCountOnceInRepeatedAndRegroupedBatches() {
    LedgerMachine machine = new LedgerMachine(LedgerBounds.DEFAULT);
    NumberedBill first = new NumberedBill(1, bill("r1", "r1", 10));
    NumberedBill second = new NumberedBill(2, bill("r2", "caller-key", 20));
    NumberedBill third = new NumberedBill(3, bill("r3", "r3", 30));
    assertEquals(apply(machine, batch("entry-1", first, second)), new BillsRecorded(2, 0));
    assertEquals(apply(machine, batch("entry-1", second, third)), new BillsRecorded(1, 1));
    assertEquals(apply(machine, batch("entry-1", first)), new BillsRecorded(0, 1));
    NumberedBill resend = new NumberedBill(1, bill("r9", "caller-key", 25));
    assertEquals(apply(machine, batch("entry-2", resend)), new BillsRecorded(0, 1));
    Statement statement = machine.statement("club");
    assertEquals(statement.requests(), 3);
    assertEquals(statement.costMicros(), 60);
  }

  private static LedgerCommand batch(String entry, NumberedBill... bills) {
    return new LedgerCommand.RecordBills(entry, 7, 0, List.of(bills));
  }

  // Guards against missing and double bills in the statement. Bills of three entries arrive in
  // random batches, duplicated and out of order, and the state is restored from snapshots in
  // between.
  @Test
  public void statementAddsUpUnderRandomDuplicationReorderingAndRestarts() {
    for (int seed = 0; seed < 20; seed++) {
      Random random = new Random(seed);
      List<LedgerCommand> deliveries = new ArrayList<>();
      long expectedMicros = 0;
      for (int entry = 0; entry < 3; entry++) {
        List<NumberedBill> bills = new ArrayList<>();
        for (long number = 1; number <= 200; number++) {
          long cost = random.nextInt(100);
          expectedMicros += cost;
          String requestId = "r-" + entry + "-" + number;
          String key = random.nextBoolean() ? requestId : "key-" + entry + "-" + number;
          bills.add(new NumberedBill(number, bill(requestId, key, cost)));
        }
        deliveries.addAll(randomBatches("entry-" + entry, bills, random));
      }
      Collections.shuffle(deliveries, random);
      LedgerMachine machine = new LedgerMachine(LedgerBounds.DEFAULT);
      for (LedgerCommand delivery : deliveries) {
        apply(machine, delivery);
        if (random.nextInt(10) == 0) {
          LedgerMachine restarted = new LedgerMachine(LedgerBounds.DEFAULT);
          restarted.restore(machine.snapshot());
          assertEquals(restarted.snapshot(), machine.snapshot());
          machine = restarted;
        }
      }
      Statement statement = machine.statement("club");
      assertEquals(statement.requests(), 600);
      assertEquals(statement.costMicros(), expectedMicros);
    }
  }

  private static List<LedgerCommand> randomBatches(
      String entry, List<NumberedBill> bills, Random random) {
    List<LedgerCommand> batches = new ArrayList<>();
    for (int round = 0; round < 2; round++) {
      int from = 0;
      while (from < bills.size()) {
        int to = Math.min(bills.size(), from + 1 + random.nextInt(20));
        batches.add(new LedgerCommand.RecordBills(entry, 1, 0, bills.subList(from, to)));
        from = to;
      }
    }
    return batches;
  }
}
