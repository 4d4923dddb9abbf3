package org.skylarkfork.standin.measure;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.skylarkfork.core.routing.BestModelPlanner;
import org.skylarkfork.core.routing.ChooserSettings;
import org.skylarkfork.core.routing.LeastCostPlanner;
import org.skylarkfork.core.routing.PlannerSettings;
import org.skylarkfork.core.routing.PowerOfTwoChooser;
import org.skylarkfork.core.routing.RandomChooser;
import org.testng.annotations.Test;

/** Tests in virtual time that the decisions keep their lead over the baselines. */
public class MeasuresTest {

  private static final long SEED = 11;

  @Test
  public void leastCostReachesTheTargetForLess() {
    PlannerMeasure.Result best =
        new PlannerMeasure((listed, book) -> new BestModelPlanner(listed, book), SEED).run();
    PlannerMeasure.Result least =
        new PlannerMeasure(
                (listed, book) -> new LeastCostPlanner(listed, book, PlannerSettings.DEFAULT, SEED),
                SEED)
            .run();
    assertTrue(least.costMicros() <= 0.6 * best.costMicros(), least.toString());
    assertTrue(least.reached() >= PlannerMeasure.TARGET, least.toString());
    assertEquals(least.sessionAnswersMoved(), 0);
  }

  @Test
  public void powerOfTwoKeepsTheBurstShort() {
    ChooserMeasure.Result random = new ChooserMeasure(RandomChooser::new, SEED).run();
    ChooserMeasure.Result chosen =
        new ChooserMeasure(
                entry ->
                    new PowerOfTwoChooser(
                        ChooserMeasure.zone(entry), ChooserSettings.DEFAULT, entry),
                SEED)
            .run();
    assertTrue(chosen.burst().p99() <= 0.5 * random.burst().p99(), chosen.toString());
    assertTrue(chosen.fault().p99() <= 0.5 * random.fault().p99(), chosen.toString());
  }

  @Test
  public void nineEntriesFindBadVersionSooner() {
    DetectionMeasure.Decay sudden = DetectionMeasure.Decay.SUDDEN;
    DetectionMeasure.Summary alone = DetectionMeasure.run(sudden, 9, false, 2, SEED);
    DetectionMeasure.Summary shared = DetectionMeasure.run(sudden, 9, true, 2, SEED);
    assertEquals(shared.falseAlarms(), 0);
    assertTrue(shared.requests() <= 0.2 * alone.requests(), shared.toString());
  }
}
