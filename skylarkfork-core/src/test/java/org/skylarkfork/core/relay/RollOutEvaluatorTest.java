package org.skylarkfork.core.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;

import java.time.Duration;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of {@link RollOutEvaluator}. */
public final class RollOutEvaluatorTest {

  private static final ServiceRollOut ROLL_OUT =
      new ServiceRollOut("service", "v2", 24_000, RollOutPhase.CANARY);

  private RollOutEvaluator judge = new RollOutEvaluator(RollOutSettings.DEFAULT);

  /** Each test begins anew. */
  @BeforeMethod
  public void setUp() {
    judge = new RollOutEvaluator(RollOutSettings.DEFAULT);
  }

  private void seen(String version, long answers, long failures, long meanMillis) {
    long good = answers - failures;
    judge.add(new VersionCounts("service", version, answers, failures, good * meanMillis), null);
  }

  @Test
  public void goodVersionMovesAndSucceeds() {
    seen("v1", 1000, 10, 100);
    seen("v2", 50, 1, 110);
    assertNull(judge.nextPhase(ROLL_OUT, RelayFixture.START));
    assertEquals(
        judge.nextPhase(ROLL_OUT, RelayFixture.START.plusSeconds(15)), RollOutPhase.MOVING);
    ServiceRollOut moving = ROLL_OUT.withPhase(RollOutPhase.MOVING);
    assertNull(judge.nextPhase(moving, RelayFixture.START.plusSeconds(16)));
    assertEquals(
        judge.nextPhase(moving, RelayFixture.START.plusSeconds(22)), RollOutPhase.SUCCEEDED);
  }

  @Test
  public void failingVersionIsRolledBack() {
    seen("v1", 1000, 10, 100);
    seen("v2", 12, 6, 100);
    assertEquals(judge.nextPhase(ROLL_OUT, RelayFixture.START), RollOutPhase.ROLLED_BACK);
  }

  /** Callers wait several times longer for the new version, which fails none. */
  @Test
  public void slowVersionIsRolledBack() {
    seen("v1", 1000, 10, 100);
    seen("v2", 20, 0, 500);
    assertEquals(judge.nextPhase(ROLL_OUT, RelayFixture.START), RollOutPhase.ROLLED_BACK);
  }

  /** A version with a good past turns bad; its past must not hide that. */
  @Test
  public void versionThatTurnsBadIsRolledBack() {
    seen("v1", 1000, 10, 100);
    seen("v2", 400, 2, 100);
    judge.age(Duration.ofSeconds(30));
    seen("v2", 12, 6, 100);
    assertEquals(judge.nextPhase(ROLL_OUT, RelayFixture.START), RollOutPhase.ROLLED_BACK);
  }

  /** A service that fails anyway gets its new version all the same. */
  @Test
  public void versionThatFailsLikeTheOldOneIsKept() {
    seen("v1", 1000, 150, 100);
    seen("v2", 40, 7, 100);
    assertNull(judge.nextPhase(ROLL_OUT, RelayFixture.START));
  }
}
