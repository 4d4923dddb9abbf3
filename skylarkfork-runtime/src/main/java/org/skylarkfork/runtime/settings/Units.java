package org.skylarkfork.runtime.settings;

import java.time.Duration;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads durations such as {@code 200ms} and sizes such as {@code 64MB}. */
public final class Units {

  private static final Pattern NUMBER_AND_UNIT = Pattern.compile("(\\d{1,12})\\s*([A-Za-z]+)");
  private static final Map<String, Duration> DURATIONS =
      Map.of(
          "ms", Duration.ofMillis(1),
          "s", Duration.ofSeconds(1),
          "m", Duration.ofMinutes(1),
          "h", Duration.ofHours(1),
          "d", Duration.ofDays(1));
  private static final Map<String, Long> SIZES =
      Map.of("B", 1L, "KB", 1024L, "MB", 1024L * 1024, "GB", 1024L * 1024 * 1024);

  private Units() {}

  /**
   * Reads a duration.
   *
   * @throws IllegalArgumentException whose message names the form, if it is not one
   */
  public static Duration duration(String text) {
    Matcher matcher = NUMBER_AND_UNIT.matcher(text.strip());
    if (matcher.matches()) {
      Duration unit = DURATIONS.get(matcher.group(2));
      if (unit != null) {
        return unit.multipliedBy(Long.parseLong(matcher.group(1)));
      }
    }
    throw new IllegalArgumentException(
        "'" + text + "' is not a duration. Write a number and ms, s, m, h or d, such as 200ms.");
  }

  /**
   * Reads a size in bytes.
   *
   * @throws IllegalArgumentException whose message names the form, if it is not one
   */
  public static long bytes(String text) {
    Matcher matcher = NUMBER_AND_UNIT.matcher(text.strip());
    if (matcher.matches()) {
      Long unit = SIZES.get(matcher.group(2));
      if (unit != null) {
        return Math.multiplyExact(unit, Long.parseLong(matcher.group(1)));
      }
    }
    throw new IllegalArgumentException(
        "'" + text + "' is not a size. Write a number and B, KB, MB or GB, such as 64MB.");
  }
}
