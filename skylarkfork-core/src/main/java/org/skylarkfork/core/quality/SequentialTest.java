package org.skylarkfork.core.quality;

import java.util.List;

/**
 * A sequential test of "the mean is at least as expected" by betting, valid at every look.
 *
 * <p>A bettor who stakes against a good version gains nothing on average, so that a gain of 1 /
 * alpha comes with a chance of alpha at most, ever (Ville's inequality). Bets start anew in each
 * epoch with a weight that sums to 1 over all epochs; a version that turns bad after a long good
 * time is so found about as fast as one that was bad from its start. The gain depends on sums of
 * counts only, so all entries with the same counts come to the same result.
 */
final class SequentialTest {

  /** Stakes as shares of the greatest that can't lose more than all. */
  static final double[] STAKES = {0.05, 0.15, 0.4, 0.8};

  /** Upper bound of the sum of 1 / (n log(n)^2) over all n from 2. */
  private static final double WEIGHTS_SUM = 2.11;

  private SequentialTest() {}

  /** Returns the logarithms of what each stake gains on one value. */
  static double[] logGains(double value, double minMean) {
    double[] gains = new double[STAKES.length];
    for (int i = 0; i < STAKES.length; i++) {
      double stake = STAKES[i] / (1 - minMean);
      gains[i] = Math.log1p(stake * (minMean - value));
    }
    return gains;
  }

  /**
   * Returns the logarithm of the gain over all stakes and starts.
   *
   * @param epochs gains in the order of time
   */
  static double logEvidence(List<EpochGains> epochs) {
    double[] running = new double[STAKES.length];
    LogSum total = new LogSum();
    for (int i = epochs.size() - 1; i >= 0; i--) {
      EpochGains epoch = epochs.get(i);
      double logWeight = logWeight(epoch.age());
      for (int stake = 0; stake < STAKES.length; stake++) {
        running[stake] += epoch.logGains()[stake];
        total.add(running[stake] + logWeight - Math.log(STAKES.length));
      }
    }
    return total.log();
  }

  /**
   * Returns the logarithm of the greatest gain of any stake and start, not weighted.
   *
   * <p>It rises sooner than the evidence but proves nothing: it is for deciding where to look.
   */
  static double logAlert(List<EpochGains> epochs) {
    double[] running = new double[STAKES.length];
    double greatest = 0;
    for (int i = epochs.size() - 1; i >= 0; i--) {
      for (int stake = 0; stake < STAKES.length; stake++) {
        running[stake] += epochs.get(i).logGains()[stake];
        greatest = Math.max(greatest, running[stake]);
      }
    }
    return greatest;
  }

  /** Returns the logarithm of a start's weight; of all such series, it falls about the slowest. */
  private static double logWeight(long age) {
    double number = age + 2.0;
    return -Math.log(number) - 2 * Math.log(Math.log(number)) - Math.log(WEIGHTS_SUM);
  }

  /**
   * What each stake gained in one epoch.
   *
   * @param age number of epochs since the test began
   * @param logGains logarithms of the gains
   */
  record EpochGains(long age, double[] logGains) {}

  /** Sums numbers of which only the logarithms are known. */
  private static final class LogSum {
    private double greatest = Double.NEGATIVE_INFINITY;
    private double scaled;

    void add(double log) {
      if (log <= greatest) {
        scaled += Math.exp(log - greatest);
      } else {
        scaled = scaled * Math.exp(greatest - log) + 1;
        greatest = log;
      }
    }

    double log() {
      return greatest + Math.log(scaled);
    }
  }
}
