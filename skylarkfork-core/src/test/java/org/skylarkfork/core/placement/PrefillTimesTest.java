package org.skylarkfork.core.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.testng.annotations.Test;

/** Tests of {@link PrefillTimes}. */
public final class PrefillTimesTest {

  private final UniformRandomProvider randomNumbers = RandomSource.XO_SHI_RO_256_PP.create(1);

  private void recordAnswers(
      PrefillTimes times, String model, double fixedMillis, double millisPerToken, int answers) {
    for (int answer = 0; answer < answers; answer++) {
      double tokens = 200 + 17_000 * randomNumbers.nextDouble();
      times.recordAnswer(model, tokens, fixedMillis + millisPerToken * tokens);
    }
  }

  /**
   * Deployments and models differ tenfold in speed; a few dozen answers per model are enough to
   * estimate both.
   */
  @Test
  public void modelsAreEstimatedSeparately() {
    PrefillTimes times = new PrefillTimes();
    recordAnswers(times, "small", 120, 0.005, 60);
    recordAnswers(times, "large", 150, 0.05, 60);
    assertEquals(times.firstByteMillis("small", 4000), 140, 15);
    assertEquals(times.firstByteMillis("large", 4000), 350, 40);
    assertEquals(times.prefillMillis("large", 10_000), 500, 50);
  }

  /**
   * Engines that become faster, for example after a roll-out, are estimated from their new answers.
   */
  @Test
  public void newAnswersOutweighOldOnes() {
    PrefillTimes times = new PrefillTimes();
    recordAnswers(times, "model", 100, 0.1, 100);
    recordAnswers(times, "model", 100, 0.01, 150);
    assertEquals(times.prefillMillis("model", 10_000), 100, 60);
  }

  /** A single answer that waited in an unknown queue must not make all engines seem slow. */
  @Test
  public void outlierIsCut() {
    PrefillTimes times = new PrefillTimes();
    recordAnswers(times, "model", 100, 0.02, 60);
    double before = times.firstByteMillis("model", 5000);
    times.recordAnswer("model", 5000, 60_000);
    assertTrue(times.firstByteMillis("model", 5000) < 1.2 * before);
  }

  @Test
  public void prefillTimeIsPositive() {
    PrefillTimes times = new PrefillTimes();
    for (int answer = 0; answer < 50; answer++) {
      times.recordAnswer("model", 1000 * answer, 500 - answer);
    }
    assertTrue(times.prefillMillis("model", 1000) > 0);
  }
}
