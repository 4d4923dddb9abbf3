package org.skylarkfork.core.routing;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Names the prefixes of prompts as engines do in their cache events.
 *
 * <p>A prefix ends after each 16 words. Its name is the 64-bit FNV-1a hash, as 16 hexadecimal
 * digits, of the model and version as {@code model:version}, a line feed, and each word followed by
 * a blank.
 */
public final class PromptPrefixes {

  private static final long OFFSET_BASIS = 0xcbf29ce484222325L;
  private static final long PRIME = 0x100000001b3L;
  private static final int BYTE_MASK = 0xff;
  private static final int WORDS_PER_BLOCK = 16;

  private PromptPrefixes() {}

  /**
   * Names the first prefixes of a prompt.
   *
   * @param modelKey model and version with a colon between, or any other text to tell uses apart
   * @param prompt the prompt
   * @param limit bound for the number of prefixes
   * @return the names, the shortest prefix first
   */
  public static List<String> of(String modelKey, String prompt, int limit) {
    List<String> names = new ArrayList<>(limit);
    long hash = extend(OFFSET_BASIS, modelKey + "\n");
    int words = 0;
    int position = 0;
    while (names.size() < limit) {
      int begin = skip(prompt, position, true);
      if (begin == prompt.length()) {
        break;
      }
      position = skip(prompt, begin, false);
      hash = extend(hash, prompt.substring(begin, position) + " ");
      words++;
      if (words % WORDS_PER_BLOCK == 0) {
        names.add(String.format("%016x", hash));
      }
    }
    return names;
  }

  private static int skip(String text, int from, boolean blanks) {
    int position = from;
    while (position < text.length() && Character.isWhitespace(text.charAt(position)) == blanks) {
      position++;
    }
    return position;
  }

  private static long extend(long hash, String text) {
    long extended = hash;
    for (byte octet : text.getBytes(StandardCharsets.UTF_8)) {
      extended = (extended ^ (octet & BYTE_MASK)) * PRIME;
    }
    return extended;
  }
}
