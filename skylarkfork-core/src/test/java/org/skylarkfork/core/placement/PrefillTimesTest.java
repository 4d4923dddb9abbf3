package org.skylarkfork.core.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.testng.annotations.Test;

/** Tests of {@link PrefillTimes}. */
public final class PrefillTimesTest {

  private final UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(1);

  private void learn(PrefillTimes times, String model, double fixed, double perToken, int answers) {
    for (int answer = 0; answer < answers; answer++) {
      double tokens = 200 + 17_000 * random.nextDouble();
      times.recordAnswer(model, tokens, fixed + perToken * tokens);
    }
  }

  /** Deployments and models differ tenfold; both are learned from a few dozen answers. */
  @Test
  public void eachModelIsLearnedByItself() {
    PrefillTimes times = new PrefillTimes();
    learn(times, "small", 120, 0.005, 60);
    learn(times, "large", 150, 0.05, 60);
    assertEquals(times.firstByteMillis("small", 4000), 140, 15);
    assertEquals(times.firstByteMillis("large", 4000), 350, 40);
    assertEquals(times.prefillMillis("large", 10_000), 500, 50);
  }

  /** A deployment whose engines get faster, as after a roll-out, is learned anew. */
  @Test
  public void newAnswersOutweighOldOnes() {
    PrefillTimes times = new PrefillTimes();
    learn(times, "model", 100, 0.1, 100);
    learn(times, "model", 100, 0.01, 150);
    assertEquals(times.prefillMillis("model", 10_000), 100, 60);
  }

  /** One answer behind a queue that nobody knew of must not make all engines look slow. */
  @Test
  public void surpriseCountsOnlySoMuch() {
    PrefillTimes times = new PrefillTimes();
    learn(times, "model", 100, 0.02, 60);
    double before = times.firstByteMillis("model", 5000);
    times.recordAnswer("model", 5000, 60_000);
    assertTrue(times.firstByteMillis("model", 5000) < 1.2 * before);
  }

  @Test
  public void readingNeverTakesNoTime() {
    PrefillTimes times = new PrefillTimes();
    for (int answer = 0; answer < 50; answer++) {
      times.recordAnswer("model", 1000 * answer, 500 - answer);
    }
    assertTrue(times.prefillMillis("model", 1000) > 0);
  }
}
