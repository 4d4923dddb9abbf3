package org.skylarkfork.core.relay;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.testng.annotations.Test;

/** Tests of {@link ConfidenceCascade}. */
public final class ConfidenceCascadeTest {

  private static final RelayRoute ROUTE =
      RelayFixture.route("/a/", RouteKind.STREAMING, true, List.of("small", "middle", "large"));

  private final ConfidenceCascade cascade = new ConfidenceCascade();

  private int larger(int model, Integer confidence, long usedMillis, double pressure) {
    return cascade.larger(ROUTE, model, confidence, usedMillis, pressure);
  }

  @Test
  public void doubtedAnswersGoToTheLargestModelInTime() {
    assertEquals(larger(0, 49, 100, 0.1), 2);
    assertEquals(larger(0, 50, 100, 0.1), -1);
    assertEquals(larger(2, 10, 100, 0.1), -1);
    assertEquals(larger(0, 10, 700, 0.1), -1);
  }

  /** Callers get a doubtful answer in time in place of all answers late. */
  @Test
  public void underStrainOnlyTheMostDoubtfulAnswersAreAskedAgain() {
    assertEquals(larger(0, 40, 100, 0.8), -1);
    assertEquals(larger(0, 14, 100, 0.8), 2);
    assertEquals(larger(0, 40, 100, 0.4), -1);
    assertEquals(larger(0, 30, 100, 0.4), 2);
  }
}
