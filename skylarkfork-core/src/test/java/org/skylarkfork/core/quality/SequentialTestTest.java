package org.skylarkfork.core.quality;

import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.testng.annotations.Test;

/** Tests that the sequential test is seldom wrong and soon right. */
public class SequentialTestTest {

  private static final double MIN_MEAN = 0.8;
  private static final double ALPHA = 0.05;
  private static final int EPOCHS = 200;
  private static final int VALUES_PER_EPOCH = 8;

  @Test
  public void falseAlarmRateStaysBelowBoundAtEveryEpoch() {
    UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(7L);
    int runs = 400;
    int alarms = 0;
    for (int run = 0; run < runs; run++) {
      alarms += firstAlarm(random, EPOCHS, MIN_MEAN) < EPOCHS ? 1 : 0;
    }
    assertTrue(alarms <= ALPHA * runs, alarms + " alarms in " + runs + " runs at the boundary");
  }

  @Test
  public void lateDropIsDetectedAboutAsFastAsEarlyDrop() {
    UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(8L);
    int early = 0;
    int late = 0;
    for (int run = 0; run < 50; run++) {
      early += firstAlarm(random, 0, 0.9) + 1;
      late += firstAlarm(random, 150, 0.9) + 1 - 150;
    }
    assertTrue(early <= 50 * 4, "epochs until an early drop was found: " + early);
    assertTrue(late <= early + 50 * 4, "epochs until a late drop was found: " + late);
    assertTrue(late > 0, "some runs alarmed before the drop");
  }

  /** Returns the epoch of the first alarm in a run whose mean falls to 0.4 at an epoch. */
  private static int firstAlarm(UniformRandomProvider random, int dropAt, double mean) {
    List<SequentialTest.EpochGains> gains = new ArrayList<>();
    double[] bad = SequentialTest.logGains(0, MIN_MEAN);
    double[] good = SequentialTest.logGains(1, MIN_MEAN);
    for (int epoch = 0; epoch < EPOCHS; epoch++) {
      double[] sum = new double[SequentialTest.STAKES.length];
      for (int value = 0; value < VALUES_PER_EPOCH; value++) {
        boolean isGood = random.nextDouble() < (epoch < dropAt ? mean : 0.4);
        for (int stake = 0; stake < sum.length; stake++) {
          sum[stake] += isGood ? good[stake] : bad[stake];
        }
      }
      gains.add(new SequentialTest.EpochGains(epoch, sum));
      if (SequentialTest.logEvidence(gains) >= -Math.log(ALPHA)) {
        return epoch;
      }
    }
    return EPOCHS;
  }
}
