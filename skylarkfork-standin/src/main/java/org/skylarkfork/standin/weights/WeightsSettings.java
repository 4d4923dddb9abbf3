package org.skylarkfork.standin.weights;

import java.time.Duration;
import java.util.Objects;
import org.skylarkfork.runtime.settings.SettingsReader;
import org.skylarkfork.standin.settings.ZeroIfAbsent;

/**
 * The settings of a stand-in weight store.
 *
 * @param host the IP number to listen on; 127.0.0.1 if absent
 * @param port the port, or 0 for a free one
 * @param fetchesPerSecond the rate of fetches in the long run; 1 if absent
 * @param burst the fetches that may come at once; 4 if absent
 * @param fetchTime the time that a fetch takes; 10 ms if absent
 */
public record WeightsSettings(
    String host,
    @ZeroIfAbsent int port,
    @ZeroIfAbsent double fetchesPerSecond,
    @ZeroIfAbsent int burst,
    Duration fetchTime) {

  private static final String LOOPBACK = "127.0.0.1";
  private static final int DEFAULT_BURST = 4;
  private static final Duration DEFAULT_FETCH_TIME = Duration.ofMillis(10);

  /** Puts defaults in place of absent values. */
  public WeightsSettings {
    host = Objects.requireNonNullElse(host, LOOPBACK);
    fetchesPerSecond = fetchesPerSecond <= 0 ? 1 : fetchesPerSecond;
    burst = burst <= 0 ? DEFAULT_BURST : burst;
    fetchTime = Objects.requireNonNullElse(fetchTime, DEFAULT_FETCH_TIME);
  }

  /**
   * Makes settings with a rate limit.
   *
   * @param fetchesPerSecond the rate of fetches in the long run
   * @param burst the fetches that may come at once
   * @return settings with a free port on loopback
   */
  public static WeightsSettings of(double fetchesPerSecond, int burst) {
    return new WeightsSettings(LOOPBACK, 0, fetchesPerSecond, burst, DEFAULT_FETCH_TIME);
  }

  /**
   * Gives a reader of these settings.
   *
   * @return a reader of YAML that checks its schema
   */
  public static SettingsReader<WeightsSettings> reader() {
    return new SettingsReader<>(WeightsSettings.class, "weights.schema.json");
  }
}
