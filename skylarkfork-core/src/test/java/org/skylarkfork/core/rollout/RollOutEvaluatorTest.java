package org.skylarkfork.core.rollout;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;

import java.time.Duration;
import java.time.Instant;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of {@link RollOutEvaluator}. */
public final class RollOutEvaluatorTest {

  private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

  private static final ServiceRollOut ROLL_OUT =
      new ServiceRollOut("service", "v2", 24_000, RollOutPhase.CANARY);

  private RollOutEvaluator evaluator = new RollOutEvaluator(RollOutSettings.DEFAULT);

  /** Creates a new fixture for each test. */
  @BeforeMethod
  public void setUp() {
    evaluator = new RollOutEvaluator(RollOutSettings.DEFAULT);
  }

  private void addCounts(String version, long answers, long failures, long meanMillis) {
    long successes = answers - failures;
    evaluator.add(
        new VersionCounts("service", version, answers, failures, successes * meanMillis), null);
  }

  @Test
  public void goodVersionMovesAndSucceeds() {
    addCounts("v1", 1000, 10, 100);
    addCounts("v2", 50, 1, 110);
    assertNull(evaluator.nextPhase(ROLL_OUT, START));
    assertEquals(evaluator.nextPhase(ROLL_OUT, START.plusSeconds(15)), RollOutPhase.MOVING);
    ServiceRollOut moving = ROLL_OUT.withPhase(RollOutPhase.MOVING);
    assertNull(evaluator.nextPhase(moving, START.plusSeconds(16)));
    assertEquals(evaluator.nextPhase(moving, START.plusSeconds(22)), RollOutPhase.SUCCEEDED);
  }

  @Test
  public void failingVersionIsRolledBack() {
    addCounts("v1", 1000, 10, 100);
    addCounts("v2", 12, 6, 100);
    assertEquals(evaluator.nextPhase(ROLL_OUT, START), RollOutPhase.ROLLED_BACK);
  }

  /** The new version is several times slower but does not fail. */
  @Test
  public void slowVersionIsRolledBack() {
    addCounts("v1", 1000, 10, 100);
    addCounts("v2", 20, 0, 500);
    assertEquals(evaluator.nextPhase(ROLL_OUT, START), RollOutPhase.ROLLED_BACK);
  }

  /** Guards against a version that turns bad but is kept because of its earlier good results. */
  @Test
  public void versionThatTurnsBadIsRolledBack() {
    addCounts("v1", 1000, 10, 100);
    addCounts("v2", 400, 2, 100);
    evaluator.age(Duration.ofSeconds(30));
    addCounts("v2", 12, 6, 100);
    assertEquals(evaluator.nextPhase(ROLL_OUT, START), RollOutPhase.ROLLED_BACK);
  }

  /** A new version that fails as often as the old one is not rolled back. */
  @Test
  public void versionThatFailsLikeTheOldOneIsNotRolledBack() {
    addCounts("v1", 1000, 150, 100);
    addCounts("v2", 40, 7, 100);
    assertNull(evaluator.nextPhase(ROLL_OUT, START));
  }
}
