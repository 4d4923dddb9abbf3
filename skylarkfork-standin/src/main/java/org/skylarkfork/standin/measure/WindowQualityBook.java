package org.skylarkfork.standin.measure;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.skylarkfork.core.configuration.ModelVersion;
import org.skylarkfork.core.quality.AttemptOutcome;
import org.skylarkfork.core.quality.VersionQuality;

/** The simplest baseline: each entry alone suspects a version whose last ratings are too low. */
public final class WindowQualityBook implements VersionQuality {

  private final int window;
  private final double threshold;
  private final Map<ModelVersion, Deque<Double>> ratings = new HashMap<>();
  private final Map<ModelVersion, Double> sums = new HashMap<>();
  private final Set<ModelVersion> suspects = new HashSet<>();

  /**
   * Makes an empty book.
   *
   * @param window how many ratings are looked at
   * @param threshold mean below which the version is suspect
   */
  public WindowQualityBook(int window, double threshold) {
    this.window = window;
    this.threshold = threshold;
  }

  @Override
  public Estimate estimate(ModelVersion version, String team, int promptTokens, double target) {
    Deque<Double> last = ratings.getOrDefault(version, new ArrayDeque<>());
    long reaching = last.stream().filter(rating -> rating >= target).count();
    double mean = last.isEmpty() ? 0 : (double) reaching / last.size();
    return new Estimate(mean, 0, last.size());
  }

  @Override
  public boolean isSuspect(ModelVersion version) {
    return suspects.contains(version);
  }

  @Override
  public void record(AttemptOutcome outcome, Instant now) {
    if (outcome.rating() == null) {
      return;
    }
    ModelVersion version = outcome.version();
    Deque<Double> last = ratings.computeIfAbsent(version, unused -> new ArrayDeque<>());
    last.addLast(outcome.rating());
    sums.merge(version, outcome.rating(), Double::sum);
    if (last.size() > window) {
      sums.merge(version, -last.removeFirst(), Double::sum);
    }
    if (last.size() == window && sums.get(version) / window < threshold) {
      suspects.add(version);
    }
  }
}
