package org.skylarkfork.standin.measure.daemon;

import java.time.Instant;
import java.util.HashSet;
import java.util.Set;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.Part;
import org.skylarkfork.core.configuration.ConfigurationChange;
import org.skylarkfork.core.configuration.ModelVersion;
import org.skylarkfork.core.event.ConfigurationEvent;
import org.skylarkfork.core.event.Event;
import org.skylarkfork.core.event.LifecycleEvent;
import org.skylarkfork.core.quality.AttemptOutcome;
import org.skylarkfork.core.quality.VersionQuality;
import org.skylarkfork.standin.measure.WindowQualityBook;

/** The usual estimates, but bad versions found by a fixed threshold, or not at all. */
final class ThresholdBook implements VersionQuality, Part {

  private static final int WINDOW = 200;
  private static final double THRESHOLD = 0.65;

  private final VersionQuality estimates;
  private final Part estimating;
  private final boolean detects;
  private final WindowQualityBook window = new WindowQualityBook(WINDOW, THRESHOLD);
  private final Set<ModelVersion> seen = new HashSet<>();
  private final Set<ModelVersion> proposed = new HashSet<>();

  /**
   * Makes the book.
   *
   * @param estimates gives the estimates
   * @param estimating the same as a part
   * @param detects whether the threshold is looked at
   */
  ThresholdBook(VersionQuality estimates, Part estimating, boolean detects) {
    this.estimates = estimates;
    this.estimating = estimating;
    this.detects = detects;
  }

  @Override
  public Estimate estimate(ModelVersion version, String team, int promptTokens, double target) {
    return estimates.estimate(version, team, promptTokens, target);
  }

  @Override
  public Estimate estimateEscalated(
      ModelVersion version, String team, int promptTokens, double target) {
    return estimates.estimateEscalated(version, team, promptTokens, target);
  }

  @Override
  public double expectedMillis(ModelVersion version, int promptTokens) {
    return estimates.expectedMillis(version, promptTokens);
  }

  @Override
  public double expectedTokens(ModelVersion version, int promptTokens) {
    return estimates.expectedTokens(version, promptTokens);
  }

  @Override
  public boolean isSuspect(ModelVersion version) {
    return detects && window.isSuspect(version);
  }

  @Override
  public void record(AttemptOutcome outcome, Instant now) {
    estimates.record(outcome, now);
    window.record(outcome, now);
    seen.add(outcome.version());
  }

  @Override
  public void apply(Event event, Instant now, Output output) {
    estimating.apply(event, now, output);
    if (event instanceof LifecycleEvent.Tick) {
      seen.stream().filter(this::isSuspect).sorted().forEach(version -> withdraw(version, output));
    }
  }

  private void withdraw(ModelVersion version, Output output) {
    if (proposed.add(version)) {
      output.raise(
          new ConfigurationEvent.ChangeProposed(
              "threshold-" + version,
              "threshold",
              new ConfigurationChange.WithdrawVersion(version, null)));
    }
  }
}
