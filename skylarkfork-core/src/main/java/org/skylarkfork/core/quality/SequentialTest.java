package org.skylarkfork.core.quality;

import java.util.List;

/**
 * An anytime-valid sequential test, by betting, of "the mean is at least as expected".
 *
 * <p>A bet against a good version has no expected gain, so the probability that its gain ever
 * reaches 1 / alpha is at most alpha (Ville's inequality). A new bet starts in each epoch, and the
 * weights of all bets sum to 1. So a version that turns bad after a long good time is detected
 * about as fast as one that was bad from its start. The gain depends only on sums of counts, so all
 * entries with the same counts get the same result.
 */
final class SequentialTest {

  /** Stakes as fractions of the greatest stake that can't lose more than the whole capital. */
  static final double[] STAKES = {0.05, 0.15, 0.4, 0.8};

  /** Upper bound of the sum of 1 / (n log(n)^2) over all n from 2. */
  private static final double WEIGHTS_SUM = 2.11;

  private SequentialTest() {}

  /** Returns the logarithm of the gain of each stake on one value. */
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
   * <p>It rises sooner than the evidence but has no bound on false alarms: it only selects the
   * versions of which more answers are rated.
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

  /**
   * Returns the logarithm of the weight of a start; the weights decrease about as slowly as a
   * convergent series allows.
   */
  private static double logWeight(long age) {
    double number = age + 2.0;
    return -Math.log(number) - 2 * Math.log(Math.log(number)) - Math.log(WEIGHTS_SUM);
  }

  /**
   * The gain of each stake in one epoch.
   *
   * @param age number of epochs since the test began
   * @param logGains logarithms of the gains
   */
  record EpochGains(long age, double[] logGains) {}

  /** Sums numbers that are given by their logarithms. */
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
