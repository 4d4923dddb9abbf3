package org.skylarkfork.runtime.relay;

import io.netty.handler.codec.DateFormatter;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Date;
import java.util.List;
import java.util.Objects;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.overload.RejectionLimits;
import org.skylarkfork.core.placement.PromptPart;
import org.skylarkfork.core.relay.RateLimit;

/** Parses the values of headers that all dialects have in common but name differently. */
public final class HeaderValues {

  private static final String BEARER = "Bearer ";
  private static final double MILLIS_PER_SECOND = 1000;

  private HeaderValues() {}

  /**
   * Returns a time in milliseconds: at least 1, or 0 if the header is missing.
   *
   * @throws MalformedHeaderException if the value isn't a number
   */
  public static long millis(String name, @Nullable String value) throws MalformedHeaderException {
    if (value == null) {
      return 0;
    }
    try {
      return Math.max(1, (long) Double.parseDouble(value.trim()));
    } catch (NumberFormatException e) {
      throw new MalformedHeaderException(name + " is no number; send milliseconds");
    }
  }

  /** Returns the bearer key of an {@code Authorization} header, or null if there is none. */
  public static @Nullable String bearerKey(@Nullable String authorization) {
    boolean bearer =
        authorization != null && authorization.regionMatches(true, 0, BEARER, 0, BEARER.length());
    return bearer ? authorization.substring(BEARER.length()).trim() : null;
  }

  /**
   * Returns the numbers of tokens of a prompt and of its answer, 0 for each that is missing.
   *
   * @throws MalformedHeaderException if a value isn't a whole number
   */
  public static int[] tokenCounts(String name, @Nullable String value)
      throws MalformedHeaderException {
    int[] counts = {0, 0};
    if (value == null) {
      return counts;
    }
    String[] words = value.split(",");
    try {
      for (int index = 0; index < Math.min(words.length, counts.length); index++) {
        counts[index] = Integer.parseInt(words[index].trim());
      }
    } catch (NumberFormatException e) {
      throw new MalformedHeaderException(name + " is unreadable; send two numbers");
    }
    return counts;
  }

  /**
   * Returns the parts of a prompt, without entries that lack a colon.
   *
   * @throws MalformedHeaderException if a length isn't a whole number
   */
  public static List<PromptPart> promptParts(String name, @Nullable String value)
      throws MalformedHeaderException {
    List<PromptPart> parts = new ArrayList<>();
    if (value == null) {
      return parts;
    }
    for (String entry : value.split(",")) {
      int colon = entry.indexOf(':');
      if (colon >= 0) {
        parts.add(
            new PromptPart(entry.substring(0, colon).trim(), parseLength(name, entry, colon)));
      }
    }
    return parts;
  }

  private static int parseLength(String name, String entry, int colon)
      throws MalformedHeaderException {
    try {
      return Integer.parseInt(entry.substring(colon + 1).trim());
    } catch (NumberFormatException e) {
      throw new MalformedHeaderException(name + " is unreadable; send ID:TOKENS entries");
    }
  }

  /** Returns a count that serves as a hint only, or 0 if it is missing or malformed. */
  public static int count(@Nullable String value) {
    try {
      return value == null ? 0 : Math.max(0, (int) Double.parseDouble(value.trim()));
    } catch (NumberFormatException e) {
      return 0;
    }
  }

  /**
   * Returns the rate limit that an answer reports, or the smallest if it reports several.
   *
   * @param values values of the header; empty if the answer lacks the header
   * @return the limit, {@link RateLimit#NONE} if there is no value, or null if no value is a finite
   *     number from 0
   */
  public static @Nullable RateLimit rateLimit(List<String> values) {
    RateLimit smallest = values.isEmpty() ? RateLimit.NONE : null;
    for (String value : values) {
      for (String word : value.split(",")) {
        Double perSecond = parseFinite(word);
        if (perSecond != null && (smallest == null || perSecond < smallest.perSecond())) {
          smallest = new RateLimit(perSecond);
        }
      }
    }
    return smallest;
  }

  /**
   * Returns the time in a {@code Retry-After} header in milliseconds, or the longest if there are
   * several; 0 if no value is a finite number of seconds from 0 or a date in the future.
   *
   * @param values values of the header
   * @param date value of the answer's {@code Date} header, from which a date is counted, or null
   * @param now the present time, from which a date is counted if the answer has no valid date
   */
  public static long retryAfterMillis(List<String> values, @Nullable String date, Instant now) {
    long longest = 0;
    for (String value : values) {
      Instant at = parseDate(value);
      longest = Math.max(longest, at == null ? longestSeconds(value) : millisUntil(at, date, now));
    }
    return longest;
  }

  private static long longestSeconds(String value) {
    long longest = 0;
    for (String word : value.split(",")) {
      Double seconds = parseFinite(word);
      long millis = seconds == null ? 0 : (long) Math.ceil(seconds * MILLIS_PER_SECOND);
      longest = Math.max(longest, millis);
    }
    return longest;
  }

  private static long millisUntil(Instant at, @Nullable String date, Instant now) {
    Instant sentAt = date == null ? null : parseDate(date);
    return Math.max(0, Duration.between(sentAt == null ? now : sentAt, at).toMillis());
  }

  private static @Nullable Instant parseDate(String value) {
    Date date = value.isBlank() ? null : DateFormatter.parseHttpDate(value.trim());
    return date == null ? null : date.toInstant();
  }

  /** Returns whether a header has a value other than {@code 0} and {@code false}. */
  public static boolean flag(List<String> values) {
    return values.stream()
        .map(String::trim)
        .anyMatch(
            value -> !value.isEmpty() && !value.equals("0") && !value.equalsIgnoreCase("false"));
  }

  /**
   * Returns the rejections in a second above which an upstream falls over, the least of several
   * values, or {@link RejectionLimits#NONE} if no value is a number from 0.
   */
  public static int rejectionLimit(List<String> values) {
    return values.stream()
        .map(HeaderValues::parseFinite)
        .filter(Objects::nonNull)
        .mapToInt(Double::intValue)
        .min()
        .orElse(RejectionLimits.NONE);
  }

  /** Returns the value of a finite number from 0, or null if the text is anything else. */
  private static @Nullable Double parseFinite(String word) {
    try {
      double number = Double.parseDouble(word.trim());
      return number >= 0 && number < Double.POSITIVE_INFINITY ? number : null;
    } catch (NumberFormatException e) {
      return null;
    }
  }

  /**
   * Returns a percentage, meant to be from 0 to 100, or null if it is missing or malformed; the
   * range isn't checked.
   */
  public static @Nullable Integer percent(@Nullable String value) {
    try {
      return value == null ? null : (int) Double.parseDouble(value.trim());
    } catch (NumberFormatException e) {
      return null;
    }
  }
}
