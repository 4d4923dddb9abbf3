package org.skylarkfork.core.quality;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.configuration.Configuration;
import org.skylarkfork.core.configuration.ModelVersion;
import org.skylarkfork.core.configuration.RollOut;

/**
 * Compares each version with the one that it replaces or, without one, with its own first time.
 *
 * <p>The predecessor's counts of the same time are the better reference, since harder requests make
 * both look worse. A version's own first time is kept, so that a slow decay is seen against it.
 */
final class BadVersionDetector {

  /** Fewest values of one key for a reference of its own. */
  private static final int MIN_KEY_SAMPLES = 30;

  /** Logarithm of the gain from which more answers are rated, to know sooner. */
  private static final double LOG_ALERT_THRESHOLD = 2;

  private final EvidenceHistory history;
  private final QualitySettings settings;
  private final Map<ModelVersion, Long> testStarts = new HashMap<>();
  private final Map<ModelVersion, Baseline> baselines = new HashMap<>();
  private final Set<ModelVersion> alerts = new HashSet<>();

  BadVersionDetector(EvidenceHistory history, QualitySettings settings) {
    this.history = history;
    this.settings = settings;
  }

  /**
   * Looks for evidence against a version.
   *
   * @param falseAlarmBound bound for the chance that a good version is ever found bad
   * @return the strongest finding, or empty if there is none
   */
  Optional<Finding> test(
      ModelVersion version, Configuration configuration, double falseAlarmBound, long epoch) {
    testStarts.computeIfAbsent(version, unused -> epoch);
    recordBaseline(version, epoch);
    alerts.remove(version);
    Finding strongest = null;
    for (Signal signal : Signal.values()) {
      Optional<Comparison> comparison = comparison(version, configuration, signal, epoch);
      if (comparison.isEmpty()) {
        continue;
      }
      List<SequentialTest.EpochGains> gains = comparison.get().gains(settings.windowEpochs());
      if (signal == Signal.RATING && SequentialTest.logAlert(gains) >= LOG_ALERT_THRESHOLD) {
        alerts.add(version);
      }
      double evidence = SequentialTest.logEvidence(gains);
      double threshold = -Math.log(falseAlarmBound * signal.falseAlarmShare());
      if (evidence >= threshold && (strongest == null || evidence > strongest.logEvidence())) {
        strongest = comparison.get().finding(evidence);
      }
    }
    return Optional.ofNullable(strongest);
  }

  /**
   * Returns whether the evidence since an epoch shows the version to be as good as expected.
   *
   * @param since first epoch to look at
   */
  boolean hasRecovered(ModelVersion version, Configuration configuration, long since, long epoch) {
    for (Signal signal : Signal.values()) {
      Optional<Comparison> comparison = comparison(version, configuration, signal, epoch);
      if (comparison.isPresent() && !comparison.get().isGoodSince(since)) {
        return false;
      }
    }
    return comparison(version, configuration, Signal.RATING, epoch).isPresent();
  }

  /** Returns whether more ratings would soon tell if the version is bad. */
  boolean needsMoreRatings(ModelVersion version) {
    return alerts.contains(version);
  }

  /** Begins the test anew; earlier evidence no longer counts. */
  void restart(ModelVersion version, long epoch) {
    testStarts.put(version, epoch);
  }

  private Optional<Comparison> comparison(
      ModelVersion version, Configuration configuration, Signal signal, long epoch) {
    Optional<ModelVersion> predecessor = predecessor(version, configuration);
    double tolerance = configuration.versionPolicy().tolerance();
    long from = testStarts.getOrDefault(version, epoch);
    if (predecessor.isPresent()) {
      Map<EvidenceKey, long[]> reference =
          history.sums(predecessor.get(), epoch - signal.windowEpochs(), epoch);
      Comparison againstPredecessor =
          new Comparison(version, signal, reference, tolerance, from, epoch);
      if (againstPredecessor.hasReference()) {
        return Optional.of(againstPredecessor);
      }
    }
    Baseline baseline = baselines.get(version);
    // Load, and with it the delay, changes from hour to hour without the version's fault.
    if (baseline == null || signal == Signal.FIRST_TOKEN) {
      return Optional.empty();
    }
    long firstEpoch = Math.max(from, baseline.lastEpoch() + 1);
    return Optional.of(
        new Comparison(version, signal, baseline.counts(), tolerance, firstEpoch, epoch));
  }

  private static Optional<ModelVersion> predecessor(
      ModelVersion version, Configuration configuration) {
    return configuration
        .rollOut(version.model())
        .filter(rollOut -> rollOut.to().equals(version.version()))
        .map(RollOut::from)
        .map(from -> new ModelVersion(version.model(), from));
  }

  private void recordBaseline(ModelVersion version, long epoch) {
    if (baselines.containsKey(version)) {
      return;
    }
    long last = epoch - settings.openEpochs();
    Map<EvidenceKey, long[]> counts = history.sums(version, 0, last);
    long ratings = counts.values().stream().mapToLong(Counters::ratings).sum();
    if (ratings >= settings.minReferenceRatings()) {
      baselines.put(version, new Baseline(counts, last));
    }
  }

  /** What a version showed in its first time, up to an epoch. */
  private record Baseline(Map<EvidenceKey, long[]> counts, long lastEpoch) {}

  /**
   * Evidence against a version.
   *
   * @param signal what shows it
   * @param logEvidence logarithm of the evidence
   * @param expected least mean that a good version has
   * @param observed mean of the newest epochs
   */
  record Finding(Signal signal, double logEvidence, double expected, double observed) {

    /** Returns a sentence for operators. */
    String message() {
      return String.format(
          Locale.ROOT,
          "%s: mean %.3f where at least %.3f is expected, evidence e^%.1f",
          signal,
          observed,
          expected,
          logEvidence);
    }
  }

  /** One version's counts of one signal against a reference. */
  private final class Comparison {
    private final Signal signal;
    private final Map<EvidenceKey, NavigableMap<Long, long[]>> counts;
    private final Map<EvidenceKey, long[]> reference;
    private final double tolerance;
    private final long from;
    private final long epoch;

    Comparison(
        ModelVersion version,
        Signal signal,
        Map<EvidenceKey, long[]> reference,
        double tolerance,
        long from,
        long epoch) {
      this.signal = signal;
      this.counts = history.of(version);
      this.reference = reference;
      this.tolerance = tolerance;
      this.from = from;
      this.epoch = epoch;
    }

    boolean hasReference() {
      return Expectation.of(signal, total(null), tolerance, settings.minReferenceRatings())
          .isPresent();
    }

    List<SequentialTest.EpochGains> gains(int windowEpochs) {
      TreeMap<Long, double[]> gains = new TreeMap<>();
      long first = Math.max(from, epoch - Math.min(windowEpochs, signal.windowEpochs()));
      counts.forEach(
          (key, epochs) ->
              expectation(key)
                  .ifPresent(expected -> addGains(gains, epochs.tailMap(first), expected)));
      List<SequentialTest.EpochGains> list = new ArrayList<>();
      gains.forEach((at, sum) -> list.add(new SequentialTest.EpochGains(at - from, sum)));
      return list;
    }

    private void addGains(
        TreeMap<Long, double[]> gains, Map<Long, long[]> epochs, Expectation expected) {
      double[][] table = new double[signal.classes()][];
      for (int i = 0; i < table.length; i++) {
        table[i] = SequentialTest.logGains(signal.value(i), expected.minMean());
      }
      epochs.forEach(
          (at, epochCounts) -> {
            double[] sum =
                gains.computeIfAbsent(at, unused -> new double[SequentialTest.STAKES.length]);
            for (int i = 0; i < table.length; i++) {
              addScaled(sum, table[i], signal.count(epochCounts, i, expected.firstSlowClass()));
            }
          });
    }

    private static void addScaled(double[] sum, double[] gains, long times) {
      if (times == 0) {
        return;
      }
      for (int stake = 0; stake < sum.length; stake++) {
        sum[stake] += times * gains[stake];
      }
    }

    boolean isGoodSince(long since) {
      long size = 0;
      double surplus = 0;
      for (Map.Entry<EvidenceKey, NavigableMap<Long, long[]>> entry : counts.entrySet()) {
        Optional<Expectation> expected = expectation(entry.getKey());
        if (expected.isEmpty()) {
          continue;
        }
        long[] sum = new long[Counters.SIZE];
        entry
            .getValue()
            .tailMap(since)
            .values()
            .forEach(epochCounts -> Counters.add(sum, epochCounts));
        Expectation.Sample sample =
            Expectation.Sample.of(signal, sum, expected.get().firstSlowClass());
        size += sample.size();
        surplus += sample.size() * (sample.mean() - expected.get().minMean());
      }
      boolean hasEnough = signal != Signal.RATING || size >= settings.minReferenceRatings();
      return hasEnough && surplus >= 0;
    }

    Finding finding(double evidence) {
      long[] recent = new long[Counters.SIZE];
      counts
          .values()
          .forEach(
              epochs ->
                  epochs
                      .tailMap(epoch - settings.openEpochs())
                      .values()
                      .forEach(epochCounts -> Counters.add(recent, epochCounts)));
      Expectation expected =
          Expectation.of(signal, total(null), tolerance, 1).orElse(new Expectation(0, 0));
      double observed = Expectation.Sample.of(signal, recent, expected.firstSlowClass()).mean();
      return new Finding(signal, evidence, expected.minMean(), observed);
    }

    /** Returns what is expected of a key: from the same key, else from all keys like it. */
    private Optional<Expectation> expectation(EvidenceKey key) {
      long[] sameSize = null;
      for (Map.Entry<EvidenceKey, long[]> entry : reference.entrySet()) {
        if (hasSameEscalation(entry.getKey(), key) && entry.getKey().size() == key.size()) {
          sameSize = entry.getValue();
        }
      }
      Optional<Expectation> baseline =
          sameSize == null
              ? Optional.empty()
              : Expectation.of(signal, sameSize, tolerance, MIN_KEY_SAMPLES);
      return baseline.isPresent()
          ? baseline
          : Expectation.of(signal, total(key), tolerance, settings.minReferenceRatings());
    }

    private long[] total(@Nullable EvidenceKey similarKey) {
      long[] total = new long[Counters.SIZE];
      reference.forEach(
          (key, sum) -> {
            if (similarKey == null || hasSameEscalation(key, similarKey)) {
              Counters.add(total, sum);
            }
          });
      return total;
    }

    private static boolean hasSameEscalation(EvidenceKey one, EvidenceKey other) {
      return one.escalated() == other.escalated();
    }
  }
}
