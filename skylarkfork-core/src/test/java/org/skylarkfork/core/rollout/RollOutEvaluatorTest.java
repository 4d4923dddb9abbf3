package org.skylarkfork.core.rollout;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.rollout.RollOutDecision.Reason;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of {@link RollOutEvaluator}. */
public final class RollOutEvaluatorTest {

  private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
  private static final long START_INDEX = 7;

  private static final ServiceRollOut ROLL_OUT =
      new ServiceRollOut(
          "service", "v2", 24_000, RollOutPhase.CANARY, START_INDEX, null, List.of());

  private RollOutEvaluator evaluator = new RollOutEvaluator(RollOutSettings.DEFAULT);
  private ServiceRollOut rollOut = ROLL_OUT;
  private Instant now = START;
  private long incarnation = 1;
  private KnownRollOuts known = new KnownRollOuts();
  private final Map<String, VersionCounts> counted = new LinkedHashMap<>();

  /** Creates a new fixture for each test. */
  @BeforeMethod
  public void setUp() {
    evaluator = new RollOutEvaluator(RollOutSettings.DEFAULT);
    evaluator.startTerm(START);
    rollOut = ROLL_OUT;
    now = START;
    incarnation = 1;
    known = new KnownRollOuts();
    counted.clear();
  }

  /** Adds results of a version at the entry, which reports all that it has counted. */
  private void addCounts(String version, long answers, long failures, long meanMillis) {
    long millis = (answers - failures) * meanMillis;
    VersionCounts before =
        counted.getOrDefault(version, new VersionCounts("service", version, 0, 0, 0));
    counted.put(
        version,
        new VersionCounts(
            "service",
            version,
            before.answers() + answers,
            before.failures() + failures,
            before.firstByteMillis() + millis,
            before.attempts()));
    report(rollOut.startIndex());
  }

  private void report(long stateIndex) {
    if (stateIndex >= rollOut.startIndex()) {
      known.update(List.of(rollOut), now);
    }
    List<VersionCounts> counts = List.copyOf(counted.values());
    EntryCounts report = new EntryCounts("entry", incarnation, stateIndex, counts, known.ages(now));
    evaluator.record(report, List.of(rollOut), now);
  }

  private void restartEntry() {
    counted.clear();
    known = new KnownRollOuts();
    incarnation++;
  }

  private void electOtherLeader() {
    evaluator = new RollOutEvaluator(RollOutSettings.DEFAULT);
  }

  private @Nullable RollOutDecision decideAfter(long seconds) {
    now = START.plusSeconds(seconds);
    return evaluator.decide(rollOut, now);
  }

  private void assertDecision(@Nullable RollOutDecision decision, RollOutPhase phase, Reason why) {
    assertNotNull(decision);
    assertEquals(decision.phase(), phase);
    assertEquals(decision.reason(), why);
  }

  /** Lets the roll-out enter the moving phase as the replicated state does. */
  private void move(RollOutDecision decision) {
    rollOut = rollOut.withPhase(RollOutPhase.MOVING).withBaseline(decision.baseline());
  }

  private void beginTrialAfter(long seconds) {
    now = START.plusSeconds(seconds);
    report(rollOut.startIndex());
    RollOutDecision decision = decideAfter(seconds);
    assertDecision(decision, RollOutPhase.CANARY, Reason.TRIAL_BEGAN);
    rollOut = rollOut.withSessionShare(decision.sessionShare());
  }

  /** Lets the new version pass its trial and moves all requests to it. */
  private void moveAfter(long seconds) {
    beginTrialAfter(seconds);
    assertNull(decideAfter(seconds));
    addCounts("v2", 14, 0, 100);
    RollOutDecision decision = decideAfter(seconds);
    assertDecision(decision, RollOutPhase.MOVING, Reason.CANARY_ENDED);
    move(decision);
  }

  /** Moves the requests of a service that has too few of them for a trial. */
  private void moveFewRequestsAfter(long seconds) {
    now = START.plusSeconds(seconds);
    report(rollOut.startIndex());
    RollOutDecision decision = decideAfter(seconds);
    assertDecision(decision, RollOutPhase.MOVING, Reason.FEW_REQUESTS);
    move(decision);
  }

  private void setAttempts(String version, AttemptCounts attempts) {
    VersionCounts before =
        counted.getOrDefault(version, new VersionCounts("service", version, 0, 0, 0));
    counted.put(version, before.withAttempts(attempts));
    report(rollOut.startIndex());
  }

  @Test
  public void goodVersionMovesAndSucceeds() {
    addCounts("v1", 1000, 10, 100);
    addCounts("v2", 50, 1, 110);
    assertNull(decideAfter(0));
    moveAfter(15);
    assertNull(decideAfter(16));
    addCounts("v2", 100, 1, 110);
    assertNull(decideAfter(20));
    assertDecision(decideAfter(22), RollOutPhase.SUCCEEDED, Reason.AS_GOOD);
  }

  @Test
  public void failingVersionIsRolledBack() {
    addCounts("v1", 1000, 10, 100);
    addCounts("v2", 12, 6, 100);
    assertDecision(decideAfter(0), RollOutPhase.ROLLED_BACK, Reason.WORSE);
  }

  /** The new version is several times slower but does not fail. */
  @Test
  public void slowVersionIsRolledBack() {
    addCounts("v1", 1000, 10, 100);
    addCounts("v2", 20, 0, 500);
    assertDecision(decideAfter(0), RollOutPhase.ROLLED_BACK, Reason.WORSE);
  }

  /** Guards against a version that turns bad but is kept because of its earlier good results. */
  @Test
  public void versionThatTurnsBadIsRolledBack() {
    addCounts("v1", 1000, 10, 100);
    addCounts("v2", 400, 2, 100);
    evaluator.age(START.plusSeconds(30));
    addCounts("v2", 12, 6, 100);
    assertDecision(decideAfter(0), RollOutPhase.ROLLED_BACK, Reason.WORSE);
  }

  /** A new version that fails as often as the old one is not rolled back. */
  @Test
  public void versionThatFailsLikeTheOldOneIsNotRolledBack() {
    addCounts("v1", 1000, 150, 100);
    addCounts("v2", 40, 7, 100);
    assertNull(decideAfter(0));
  }

  /** Guards against a good verdict on a version that has answered nothing since the move. */
  @Test
  public void versionWithoutAnswersSinceTheMoveIsNotDeclaredGood() {
    addCounts("v1", 1000, 10, 100);
    addCounts("v2", 50, 0, 100);
    moveAfter(15);
    report(START_INDEX);
    assertNull(decideAfter(16));
    assertNull(decideAfter(22));
    assertDecision(decideAfter(24), RollOutPhase.ROLLED_BACK, Reason.NOT_COMPARED);
  }

  /**
   * Guards against a good verdict by a leader that took over after the move and has no baseline.
   */
  @Test
  public void versionIsNotDeclaredGoodWithoutBaseline() {
    rollOut = ROLL_OUT.withPhase(RollOutPhase.MOVING);
    addCounts("v2", 50, 0, 800);
    assertNull(decideAfter(15));
    addCounts("v2", 500, 0, 800);
    assertNull(decideAfter(22));
    assertDecision(decideAfter(24), RollOutPhase.ROLLED_BACK, Reason.NOT_COMPARED);
  }

  /** Guards against a baseline that is lost with the leader and with all entries. */
  @Test
  public void newLeaderComparesWithTheReplicatedBaseline() {
    addCounts("v1", 1000, 10, 100);
    moveAfter(15);
    electOtherLeader();
    restartEntry();
    addCounts("v2", 30, 0, 500);
    assertDecision(decideAfter(16), RollOutPhase.ROLLED_BACK, Reason.WORSE);
  }

  /** Guards against first reports that lose their weight since the leader didn't lead before. */
  @Test
  public void timeBeforeTheTermDoesNotAgeResults() {
    now = START.plusSeconds(600);
    evaluator.startTerm(now);
    addCounts("v1", 1000, 10, 100);
    addCounts("v2", 20, 0, 500);
    evaluator.age(now.plusMillis(200));
    assertDecision(decideAfter(601), RollOutPhase.ROLLED_BACK, Reason.WORSE);
  }

  /** Guards against a move by a leader that doesn't know what was counted before its election. */
  @Test
  public void newLeaderKnowsWhatEntriesCountedBefore() {
    addCounts("v1", 1000, 10, 100);
    addCounts("v2", 30, 0, 500);
    electOtherLeader();
    report(START_INDEX);
    assertDecision(decideAfter(5), RollOutPhase.ROLLED_BACK, Reason.WORSE);
  }

  /** Guards against a roll-out that takes longer than its deadline because its leader changed. */
  @Test
  public void canaryPhaseGoesOnUnderNewLeader() {
    addCounts("v1", 1000, 10, 100);
    assertNull(decideAfter(10));
    electOtherLeader();
    report(START_INDEX);
    assertNull(decideAfter(12));
    moveAfter(14);
  }

  /** Guards against a move after which nothing could be compared. */
  @Test
  public void moveWaitsForBaseline() {
    report(START_INDEX);
    assertNull(decideAfter(15));
    addCounts("v1", 14, 0, 100);
    moveFewRequestsAfter(16);
  }

  /** Guards against a roll-out that a leader whose clock is ahead ends before its time. */
  @Test
  public void clockOfNewLeaderDoesNotCount() {
    addCounts("v1", 1000, 10, 100);
    assertNull(decideAfter(1));
    electOtherLeader();
    Instant ahead = START.plusSeconds(3600);
    EntryCounts report =
        new EntryCounts("entry", 1, START_INDEX, List.copyOf(counted.values()), known.ages(now));
    evaluator.record(report, List.of(rollOut), ahead);
    assertNull(evaluator.decide(rollOut, ahead));
    assertNull(evaluator.decide(rollOut, ahead.plusSeconds(11)));
    assertNotNull(evaluator.decide(rollOut, ahead.plusSeconds(13)));
  }

  /** Guards against a good version that misses its deadline because its leader changed. */
  @Test
  public void newLeaderNeedNotWaitForTheOldVersionAgain() {
    addCounts("v1", 1000, 10, 100);
    moveAfter(14);
    report(START_INDEX);
    electOtherLeader();
    now = START.plusSeconds(17);
    addCounts("v2", 100, 0, 100);
    assertNull(decideAfter(17));
    addCounts("v2", 100, 0, 100);
    assertNull(decideAfter(18));
    report(START_INDEX);
    assertDecision(decideAfter(20), RollOutPhase.SUCCEEDED, Reason.AS_GOOD);
  }

  /** Guards against an old version that is stopped while an entry may still use it. */
  @Test
  public void newLeaderWaitsForTheOldVersionIfAnEntryDoesNotSayThatItMoved() {
    addCounts("v1", 1000, 10, 100);
    moveAfter(14);
    electOtherLeader();
    restartEntry();
    now = START.plusSeconds(17);
    addCounts("v2", 100, 0, 100);
    addCounts("v2", 100, 0, 100);
    assertNull(decideAfter(20));
    assertDecision(decideAfter(22), RollOutPhase.SUCCEEDED, Reason.AS_GOOD);
  }

  /** Guards against a second roll-out to a version that has no canary phase of its own. */
  @Test
  public void secondRollOutToOneVersionStartsAnew() {
    addCounts("v1", 1000, 10, 100);
    addCounts("v2", 50, 0, 100);
    moveAfter(15);
    addCounts("v2", 100, 0, 100);
    assertNull(decideAfter(16));
    assertNotNull(decideAfter(22));
    now = START.plusSeconds(100);
    rollOut = new ServiceRollOut("service", "v2", 24_000, RollOutPhase.CANARY, 30, null, List.of());
    report(START_INDEX);
    restartEntry();
    addCounts("v1", 1000, 10, 100);
    addCounts("v2", 20, 0, 500);
    assertDecision(decideAfter(101), RollOutPhase.ROLLED_BACK, Reason.WORSE);
  }

  /** Guards against answers that count twice because an older report arrives after a newer one. */
  @Test
  public void reportThatWasOvertakenIsIgnored() {
    addCounts("v1", 1000, 10, 100);
    addCounts("v2", 400, 0, 100);
    VersionCounts older = counted.get("v2");
    addCounts("v2", 1, 0, 100);
    final VersionCounts newest = counted.get("v2");
    evaluator.age(START.plusSeconds(60));
    counted.put("v2", older);
    report(START_INDEX);
    counted.put("v2", newest);
    addCounts("v2", 20, 0, 500);
    assertDecision(decideAfter(1), RollOutPhase.ROLLED_BACK, Reason.WORSE);
  }

  /** Guards against counts of an earlier roll-out that an entry hasn't restarted yet. */
  @Test
  public void countsFromBeforeTheStartAreIgnored() {
    counted.put("v2", new VersionCounts("service", "v2", 1000, 0, 100_000));
    report(START_INDEX - 1);
    counted.clear();
    addCounts("v1", 1000, 10, 100);
    addCounts("v2", 20, 0, 500);
    assertDecision(decideAfter(1), RollOutPhase.ROLLED_BACK, Reason.WORSE);
  }

  /** Guards against a comparison with a slow version that was rolled back before. */
  @Test
  public void rolledBackVersionIsNotPartOfTheBaseline() {
    rollOut =
        new ServiceRollOut("service", "v3", 24_000, RollOutPhase.CANARY, 30, null, List.of("v2"));
    addCounts("v1", 100, 0, 100);
    addCounts("v2", 100, 0, 900);
    addCounts("v3", 20, 0, 500);
    assertDecision(decideAfter(1), RollOutPhase.ROLLED_BACK, Reason.WORSE);
  }

  /** A version that answers replaces one that fails each request, which has no latency. */
  @Test
  public void goodVersionReplacesOneThatFails() {
    addCounts("v1", 100, 100, 0);
    moveAfter(15);
    addCounts("v2", 50, 0, 100);
    assertNull(decideAfter(16));
    addCounts("v2", 50, 0, 100);
    assertDecision(decideAfter(22), RollOutPhase.SUCCEEDED, Reason.OLD_VERSION_SILENT);
  }

  /** At the deadline, few answers decide on a version that gets few requests. */
  @Test
  public void fewAnswersDecideAtTheDeadline() {
    for (long millis : new long[] {100, 800}) {
      setUp();
      addCounts("v1", 20, 0, 100);
      moveFewRequestsAfter(15);
      report(START_INDEX);
      assertNull(decideAfter(16));
      addCounts("v2", 3, 0, millis);
      assertNull(decideAfter(22));
      RollOutDecision decision = decideAfter(24);
      if (millis == 100) {
        assertDecision(decision, RollOutPhase.SUCCEEDED, Reason.AS_GOOD);
      } else {
        assertDecision(decision, RollOutPhase.ROLLED_BACK, Reason.WORSE);
      }
    }
  }

  /** Guards against a version that is declared good because its service was idle. */
  @Test
  public void versionOfIdleServiceIsRolledBackAtTheDeadline() {
    assertNull(decideAfter(0));
    assertNull(decideAfter(23));
    assertDecision(decideAfter(24), RollOutPhase.ROLLED_BACK, Reason.NOT_COMPARED);
  }

  /** Guards against an overflow by deadlines that nobody means. */
  @Test
  public void extremeDeadlinesDoNotOverflow() {
    for (long deadline : new long[] {Long.MIN_VALUE, 0, Long.MAX_VALUE}) {
      setUp();
      rollOut =
          new ServiceRollOut(
              "service", "v2", deadline, RollOutPhase.CANARY, START_INDEX, null, List.of());
      addCounts("v1", 1000, 10, 100);
      RollOutDecision decision = decideAfter(2);
      assertEquals(decision == null, deadline == Long.MAX_VALUE);
    }
  }

  /** Guards against a step to all requests by a version that nobody has tried. */
  @Test
  public void versionThatNobodyTriedGetsSomeSessionsOnly() {
    addCounts("v1", 1000, 0, 100);
    beginTrialAfter(13);
    assertTrue(rollOut.sessionShare() > 0);
    assertTrue(rollOut.sessionShare() <= ServiceRollOut.SESSION_PARTS / 2);
    assertNull(decideAfter(14));
  }

  /** Guards against a slow version whose first answers, the fast ones, prove it good. */
  @Test
  public void unansweredAttemptsCountInTheTrial() {
    addCounts("v1", 1000, 0, 100);
    beginTrialAfter(13);
    addCounts("v2", 14, 0, 100);
    setAttempts("v2", new AttemptCounts(34, 20, 20, 5_000, 0, 0));
    assertNull(decideAfter(14));
    setAttempts("v2", new AttemptCounts(34, 20, 20, 8_000, 0, 0));
    assertDecision(decideAfter(14), RollOutPhase.ROLLED_BACK, Reason.WORSE);
  }

  /** Guards against a version so slow that its callers leave before it answers. */
  @Test
  public void abandonedAttemptsCountInTheTrial() {
    addCounts("v1", 1000, 0, 100);
    beginTrialAfter(13);
    setAttempts("v2", new AttemptCounts(20, 0, 0, 0, 20, 20_000));
    assertDecision(decideAfter(14), RollOutPhase.ROLLED_BACK, Reason.WORSE);
  }

  /** Guards against waiting times of an entry that has been silent itself. */
  @Test
  public void unansweredAttemptsOfSilentEntryDoNotCount() {
    addCounts("v1", 1000, 0, 100);
    beginTrialAfter(13);
    setAttempts("v2", new AttemptCounts(20, 20, 20, 20_000, 0, 0));
    assertNull(decideAfter(16));
  }

  /** Guards against more exposure than allowed while a version neither answers nor fails. */
  @Test
  public void versionThatStaysUnknownGetsNoMoreThanAllowed() {
    addCounts("v1", 1000, 0, 100);
    beginTrialAfter(13);
    setAttempts("v2", new AttemptCounts(100, 0, 0, 0, 0, 0));
    assertNull(decideAfter(14));
    setAttempts("v2", new AttemptCounts(220, 0, 0, 0, 0, 0));
    assertDecision(decideAfter(14), RollOutPhase.ROLLED_BACK, Reason.EXPOSURE_SPENT);
  }

  /** Guards against a trial that runs for ever because the new version gets no requests. */
  @Test
  public void trialWithoutRequestsEndsAtTheDeadline() {
    addCounts("v1", 1000, 0, 100);
    beginTrialAfter(13);
    assertNull(decideAfter(18));
    assertDecision(decideAfter(24), RollOutPhase.ROLLED_BACK, Reason.NOT_COMPARED);
  }

  /** Guards against a good version that misses its deadline though the old one is unused. */
  @Test
  public void unusedOldVersionNeedNotBeWaitedForAtTheDeadline() {
    for (long open : new long[] {0, 1}) {
      setUp();
      addCounts("v1", 2000, 0, 100);
      setAttempts("v1", new AttemptCounts(2000 + open, open, 0, 0, 0, 0));
      moveAfter(20);
      report(START_INDEX);
      assertNull(decideAfter(20));
      now = START.plusSeconds(22);
      addCounts("v2", 20, 0, 100);
      assertNull(decideAfter(22));
      RollOutDecision decision = decideAfter(23);
      if (open == 0) {
        assertDecision(decision, RollOutPhase.SUCCEEDED, Reason.AS_GOOD);
      } else {
        assertNull(decision);
      }
    }
  }

  /** Guards against a slow version whose few slow answers in the trial are too few by chance. */
  @Test
  public void versionInBetweenStaysOnTrialWhileThereIsTime() {
    addCounts("v1", 1000, 0, 100);
    beginTrialAfter(13);
    addCounts("v2", 30, 0, 220);
    assertNull(decideAfter(13));
    assertNull(decideAfter(17));
    assertDecision(decideAfter(18), RollOutPhase.MOVING, Reason.CANARY_ENDED);
  }
}
