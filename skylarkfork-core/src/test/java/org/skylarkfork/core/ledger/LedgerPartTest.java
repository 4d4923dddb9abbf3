package org.skylarkfork.core.ledger;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.skylarkfork.core.event.LedgerEvent;
import org.skylarkfork.core.event.LedgerEvent.Billed;
import org.skylarkfork.core.event.LedgerEvent.ClaimAnswered;
import org.skylarkfork.core.event.LedgerEvent.ClaimState;
import org.skylarkfork.core.event.LedgerEvent.OutcomeRecorded;
import org.skylarkfork.core.ledger.LedgerFixture.Entry;
import org.testng.annotations.Test;

/** An entry's side of the ledger under crashes, loss and a group out of reach. */
public class LedgerPartTest {

  private static final Duration SHORT = Duration.ofMillis(100);
  private static final Duration LONG = Duration.ofSeconds(20);

  private static ClaimState claim(LedgerFixture fixture, Entry entry, String requestId) {
    Instant deadline = fixture.now.plusSeconds(20);
    entry.part.claim(LedgerFixture.request(requestId, deadline), "club", "k", fixture.now);
    fixture.run(Duration.ofSeconds(3));
    return entry.answers.stream()
        .filter(ClaimAnswered.class::isInstance)
        .map(ClaimAnswered.class::cast)
        .filter(answer -> answer.requestId().equals(requestId))
        .findFirst()
        .orElseThrow()
        .state();
  }

  private static Bill lookup(String requestId) {
    return new Bill(requestId, "club", requestId, "chip-reads", null, 5, true);
  }

  // The caller's certificate is issued once at most. Its entry is lost at each point: after the
  // claim, after the dispatch, after the recorded outcome, after the bill. The resend through
  // another entry is never granted; it waits, then gets the outcome if one was recorded.
  @Test
  public void resendAfterCrashAtEachPointNeverRunsAgain() {
    for (int point = 0; point < 4; point++) {
      LedgerFixture fixture = new LedgerFixture(point);
      final Entry first = fixture.start("entry-1");
      final Entry second = fixture.start("entry-2");
      assertEquals(claim(fixture, first, "r1"), ClaimState.GRANTED);
      boolean isRecorded = point >= 2;
      if (isRecorded) {
        ClaimOutcome outcome = LedgerMachineTest.answered("issued");
        first.part.recordOutcome("r1", "club", "k", outcome, fixture.now);
        fixture.run(SHORT);
        assertTrue(first.answers.contains(new OutcomeRecorded("r1", true)));
      }
      if (point == 3) {
        first.part.bill(LedgerMachineTest.bill("r1", "k", 70), fixture.now);
        fixture.run(SHORT);
        assertTrue(first.answers.contains(new Billed("r1", true)));
      }
      fixture.crash("entry-1");
      ClaimState early = claim(fixture, second, "r2");
      assertEquals(early, isRecorded ? ClaimState.RECORDED : ClaimState.IN_PROGRESS);
      fixture.now = fixture.now.plusSeconds(60);
      assertEquals(claim(fixture, second, "r3"), ClaimState.RECORDED);
      assertEquals(fixture.machine.statement("club").requests(), point == 3 ? 1 : 0);
    }
  }

  // The caller sees a true "not run" within two seconds while the group has no leader, and its
  // resend runs once there is one: the claim that may still stand is given up.
  @Test
  public void claimGivenUpWithoutLeaderIsGrantedToTheResend() {
    LedgerFixture fixture = new LedgerFixture(1);
    Entry entry = fixture.start("entry-1");
    fixture.loss = 1;
    fixture.hasLeader = false;
    entry.part.claim(
        LedgerFixture.request("r0", fixture.now.plusSeconds(20)), "club", "j", fixture.now);
    fixture.run(SHORT);
    fixture.loss = 0;
    assertEquals(claim(fixture, entry, "r1"), ClaimState.UNAVAILABLE);
    fixture.hasLeader = true;
    fixture.run(SHORT);
    assertEquals(claim(fixture, entry, "r2"), ClaimState.GRANTED);
  }

  // The team pays each lookup once although its entry is lost before the bills are committed: the
  // answers went out once a backup kept the bills, and the backups submit them, both of them.
  @Test
  public void backupsSubmitTheBillsOfLostEntryOnce() {
    LedgerFixture fixture = new LedgerFixture(2);
    final Entry owner = fixture.start("entry-1");
    fixture.start("entry-2");
    fixture.start("entry-3");
    fixture.hasLeader = false;
    fixture.run(SHORT);
    for (int i = 0; i < 20; i++) {
      owner.part.bill(lookup("r" + i), fixture.now);
    }
    fixture.run(SHORT);
    assertEquals(owner.answers.size(), 20);
    fixture.crash("entry-1");
    fixture.gone.add("entry-1");
    fixture.hasLeader = true;
    fixture.run(LONG);
    assertEquals(fixture.machine.statement("club").requests(), 20);
    assertEquals(fixture.entries.get("entry-2").part.backupBillCount(), 0);
  }

  // Screens get their lookups a little later while no backup can be reached: the bill's commit
  // stands in for it. Without a leader as well the entry gives up after the wait for bills, and the
  // bill still counts once when it is back. An answer before either could go unbilled for good.
  @Test
  public void lookupsWaitForTheCommitWhereNoBackupAnswers() {
    LedgerFixture fixture = new LedgerFixture(3);
    final Entry entry = fixture.start("entry-1");
    fixture.start("entry-2");
    fixture.run(SHORT);
    fixture.arePeersCut = true;
    entry.part.bill(lookup("r1"), fixture.now);
    fixture.run(SHORT);
    assertEquals(entry.answers, List.of(new Billed("r1", true)));
    fixture.hasLeader = false;
    entry.part.bill(lookup("r2"), fixture.now);
    fixture.run(SHORT);
    assertEquals(entry.answers.size(), 1);
    fixture.run(Duration.ofSeconds(3));
    assertEquals(entry.answers.get(1), new Billed("r2", false));
    assertFalse(entry.part.isSettled());
    fixture.hasLeader = true;
    fixture.run(LONG);
    assertTrue(entry.part.isSettled());
    assertEquals(fixture.machine.statement("club").requests(), 2);
  }

  // The team pays a draft once although its answer hands the bill in again and again while the
  // group has no leader, and once more after the commit; each time it carries no caller's key.
  @Test
  public void billHandedInAgainKeepsItsNumber() {
    LedgerFixture fixture = new LedgerFixture(4);
    Entry entry = fixture.start("entry-1");
    fixture.hasLeader = false;
    Bill bill = LedgerMachineTest.bill("r1", "r1", 10);
    for (int i = 0; i < 3; i++) {
      entry.part.bill(bill, fixture.now);
      fixture.run(Duration.ofSeconds(3));
      assertEquals(entry.answers.get(i), new Billed("r1", false));
    }
    fixture.hasLeader = true;
    fixture.run(LONG);
    entry.part.bill(bill, fixture.now);
    fixture.run(SHORT);
    assertEquals(entry.answers.get(3), new Billed("r1", true));
    assertEquals(fixture.machine.statement("club").requests(), 1);
  }

  // The statement equals what was answered as billed, to the unit. Messages, submissions and their
  // answers are lost and doubled, entries crash and restart under their old name, the group loses
  // its leader; only a bill that no backup kept yet may die with its entry, before its answer.
  @Test
  public void statementMatchesTheAnswersInRandomRuns() {
    for (int seed = 0; seed < 40; seed++) {
      LedgerFixture fixture = new LedgerFixture(seed);
      Map<String, Long> costs = new HashMap<>();
      fixture.loss = 0.2;
      List.of("entry-1", "entry-2", "entry-3", "entry-4").forEach(fixture::start);
      for (int step = 0; step < 200; step++) {
        Entry entry = fixture.entries.get("entry-" + (1 + fixture.random.nextInt(4)));
        boolean isLookup = fixture.random.nextInt(3) > 0;
        String requestId = "r" + step;
        costs.put(requestId, 1L + fixture.random.nextInt(50));
        entry.part.bill(
            new Bill(requestId, "club", requestId, "model", "1", costs.get(requestId), isLookup),
            fixture.now);
        fixture.run(Duration.ofMillis(20 + fixture.random.nextInt(60)));
        fixture.hasLeader = fixture.random.nextInt(10) > 1;
        if (step % 40 == 39) {
          // A restart loses bills that no backup has yet, so give the backups a little time; the
          // loss stays on.
          fixture.run(Duration.ofMillis(600));
          fixture.crash(entry.node);
          fixture.start(entry.node);
        }
      }
      fixture.loss = 0;
      fixture.hasLeader = true;
      fixture.run(LONG);
      Statement statement = fixture.machine.statement("club");
      long expected = costs.values().stream().mapToLong(Long::longValue).sum();
      assertEquals(statement.requests(), costs.size(), "seed " + seed);
      assertEquals(statement.costMicros(), expected, "seed " + seed);
    }
  }

  // Each request that asks gets one answer and one grant at most, whatever is lost or doubled.
  @Test
  public void oneGrantPerKeyInRandomRuns() {
    for (int seed = 0; seed < 40; seed++) {
      LedgerFixture fixture = new LedgerFixture(seed);
      List.of("entry-1", "entry-2", "entry-3").forEach(fixture::start);
      fixture.loss = 0.3;
      for (int step = 0; step < 60; step++) {
        Entry entry = fixture.entries.get("entry-" + (1 + fixture.random.nextInt(3)));
        Instant deadline = fixture.now.plusSeconds(5);
        entry.part.claim(LedgerFixture.request("r" + step, deadline), "club", "k", fixture.now);
        fixture.run(Duration.ofMillis(fixture.random.nextInt(200)));
      }
      fixture.loss = 0;
      fixture.run(LONG);
      long grants =
          fixture.entries.values().stream()
              .flatMap(entry -> entry.answers.stream())
              .filter(LedgerPartTest::isGrant)
              .count();
      assertTrue(grants <= 1, "seed " + seed + " gave " + grants + " grants");
    }
  }

  private static boolean isGrant(LedgerEvent event) {
    return event instanceof ClaimAnswered answer && answer.state() == ClaimState.GRANTED;
  }
}
