package org.skylarkfork.runtime.relay;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.placement.PromptPart;
import org.skylarkfork.core.relay.RateLimit;

/** Reads the values of headers that every dialect has under names of its own. */
public final class HeaderValues {

  private static final String BEARER = "Bearer ";

  private HeaderValues() {}

  /**
   * Returns a time in milliseconds, at least 1; 0 if there is none.
   *
   * @throws MalformedHeaderException if it is no number
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

  /** Returns the key of an {@code Authorization} header, or null if there is none. */
  public static @Nullable String bearerKey(@Nullable String authorization) {
    boolean bearer =
        authorization != null && authorization.regionMatches(true, 0, BEARER, 0, BEARER.length());
    return bearer ? authorization.substring(BEARER.length()).trim() : null;
  }

  /**
   * Returns the tokens of a prompt and of its answer; 0 for what isn't told.
   *
   * @throws MalformedHeaderException if they are no numbers
   */
  public static int[] tokenCounts(String name, @Nullable String value)
      throws MalformedHeaderException {
    int[] counts = {0, 0};
    if (value == null) {
      return counts;
    }
    String[] words = value.split(",");
    try {
      for (int place = 0; place < Math.min(words.length, counts.length); place++) {
        counts[place] = Integer.parseInt(words[place].trim());
      }
    } catch (NumberFormatException e) {
      throw new MalformedHeaderException(name + " is unreadable; send two numbers");
    }
    return counts;
  }

  /**
   * Returns the parts of a prompt; what isn't a part is left out.
   *
   * @throws MalformedHeaderException if a length is no number
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

  /** Returns a count that only decisions rest on; 0 if there is none that can be read. */
  public static int count(@Nullable String value) {
    try {
      return value == null ? 0 : Math.max(0, (int) Double.parseDouble(value.trim()));
    } catch (NumberFormatException e) {
      return 0;
    }
  }

  /**
   * Returns the rate limit that an answer names; the least if it names several.
   *
   * @param values values of the header, none if the answer lacks it
   * @return the limit, {@link RateLimit#NONE} if there is no value, or null if none can be read: no
   *     number from 0 that is finite
   */
  public static @Nullable RateLimit rateLimit(List<String> values) {
    RateLimit least = values.isEmpty() ? RateLimit.NONE : null;
    for (String value : values) {
      for (String word : value.split(",")) {
        Double perSecond = parseFinite(word);
        if (perSecond != null && (least == null || perSecond < least.perSecond())) {
          least = new RateLimit(perSecond);
        }
      }
    }
    return least;
  }

  /** Returns a number from 0 that is finite, or null if a word is none. */
  private static @Nullable Double parseFinite(String word) {
    try {
      double number = Double.parseDouble(word.trim());
      return number >= 0 && number < Double.POSITIVE_INFINITY ? number : null;
    } catch (NumberFormatException e) {
      return null;
    }
  }

  /** Returns a share from 0 to 100, or null if there is none that can be read. */
  public static @Nullable Integer percent(@Nullable String value) {
    try {
      return value == null ? null : (int) Double.parseDouble(value.trim());
    } catch (NumberFormatException e) {
      return null;
    }
  }
}
