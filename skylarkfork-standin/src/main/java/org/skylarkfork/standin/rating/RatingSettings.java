package org.skylarkfork.standin.rating;

import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import org.skylarkfork.runtime.settings.SettingsReader;
import org.skylarkfork.standin.settings.ZeroIfAbsent;

/**
 * The settings of a stand-in rating service.
 *
 * @param host the IP number to listen on; 127.0.0.1 if absent
 * @param port the port, or 0 for a free one
 * @param qualities the hidden quality of each {@code model:version}, from 0 to 1; 0.5 for others
 * @param noise the largest random change of a score, up or down
 * @param latency the time that a rating takes; 2 ms if absent
 * @param skippedShare the share of answers that are not rated, from 0 to 1
 * @param missingShare the share of requests that get no answer at all, from 0 to 1
 * @param lateShare the share of ratings that come late, from 0 to 1
 * @param lateBy the added time of a late rating; 1 s if absent
 * @param seed decides which ratings are skipped, missing, late or changed by noise
 */
public record RatingSettings(
    String host,
    @ZeroIfAbsent int port,
    Map<String, Double> qualities,
    @ZeroIfAbsent double noise,
    Duration latency,
    @ZeroIfAbsent double skippedShare,
    @ZeroIfAbsent double missingShare,
    @ZeroIfAbsent double lateShare,
    Duration lateBy,
    @ZeroIfAbsent long seed) {

  private static final String LOOPBACK = "127.0.0.1";
  private static final Duration DEFAULT_LATENCY = Duration.ofMillis(2);
  private static final Duration DEFAULT_LATE_BY = Duration.ofSeconds(1);

  /** Puts defaults in place of absent values. */
  public RatingSettings {
    host = Objects.requireNonNullElse(host, LOOPBACK);
    qualities = qualities == null ? Map.of() : Map.copyOf(qualities);
    latency = Objects.requireNonNullElse(latency, DEFAULT_LATENCY);
    lateBy = Objects.requireNonNullElse(lateBy, DEFAULT_LATE_BY);
  }

  /**
   * Rates each answer at once and without noise.
   *
   * @param qualities the hidden quality of each {@code model:version}, from 0 to 1
   * @return settings with a free port on loopback
   */
  public static RatingSettings of(Map<String, Double> qualities) {
    return new RatingSettings(
        LOOPBACK, 0, qualities, 0, DEFAULT_LATENCY, 0, 0, 0, DEFAULT_LATE_BY, 0);
  }

  /**
   * Gives a reader of these settings.
   *
   * @return a reader of YAML that checks its schema
   */
  public static SettingsReader<RatingSettings> reader() {
    return new SettingsReader<>(RatingSettings.class, "rating.schema.json");
  }
}
