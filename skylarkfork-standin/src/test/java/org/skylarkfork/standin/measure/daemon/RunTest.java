package org.skylarkfork.standin.measure.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.EnumSet;
import java.util.Set;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** A fixed seed of the measuring program; virtual time makes each run the same. */
public class RunTest {

  private static final long SEED = 7;

  @DataProvider
  Object[][] faults() {
    return new Object[][] {
      {Deployment.bond(), EnumSet.of(FaultKind.CUT_STREAMS, FaultKind.CROSSED_ANSWERS)},
      {Deployment.bond(), EnumSet.of(FaultKind.ENGINE_SILENT, FaultKind.SERVICE_SILENT)},
      {Deployment.bond(), EnumSet.of(FaultKind.ROLL_OUT, FaultKind.WITHDRAWAL)},
      {Deployment.gaspruef(), EnumSet.of(FaultKind.BAD_SUDDEN, FaultKind.CUT_STREAMS)},
    };
  }

  // Callers send at once while upstreams fail in two ways. Whatever the decisions are, no call that
  // may not be repeated runs twice, no refusal says "not run" of what ran, each answer has one
  // bill, no session changes its version but by withdrawal, and each request has one end.
  @Test(dataProvider = "faults")
  public void promisesHoldUnderPairsOfFaults(Deployment deployment, Set<FaultKind> faults) {
    Figures figures = new Run(deployment, Policy.FULL, faults, SEED).run();
    assertTrue(figures.keepsPromises(), figures.toString());
    assertTrue(figures.draftsAnswered() > 0, figures.toString());
  }

  @Test
  public void oneSeedGivesOneReport() {
    Set<FaultKind> faults = EnumSet.of(FaultKind.SLOW_UPSTREAM);
    Figures first = new Run(Deployment.bond(), Policy.FULL, faults, SEED).run();
    Figures second = new Run(Deployment.bond(), Policy.FULL, faults, SEED).run();
    assertEquals(second, first);
  }
}
