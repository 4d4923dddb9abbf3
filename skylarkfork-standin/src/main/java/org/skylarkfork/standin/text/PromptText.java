package org.skylarkfork.standin.text;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Splits prompts into tokens and reads what a prompt asks of a stand-in. */
public final class PromptText {

  /** The number of tokens in a block of the prefix cache. */
  public static final int BLOCK_TOKENS = 16;

  private static final Pattern DIFFICULTY = Pattern.compile("\\[difficulty=([01](?:\\.\\d+)?)]");
  private static final int PERCENT = 100;

  private PromptText() {}

  /**
   * Splits a prompt into tokens; each word is one.
   *
   * @param prompt the prompt
   * @return the tokens without the white space
   */
  public static List<String> tokens(String prompt) {
    String trimmed = prompt.strip();
    return trimmed.isEmpty() ? List.of() : List.of(trimmed.split("\\s+"));
  }

  /**
   * Names the prefixes of a prompt that end with a full block.
   *
   * @param modelKey the model and version, with a colon between
   * @param tokens the tokens of the prompt
   * @return the hash of each prefix as 16 hexadecimal digits, shortest prefix first
   */
  public static List<String> prefixes(String modelKey, List<String> tokens) {
    List<String> prefixes = new ArrayList<>();
    long hash = Hash.of(modelKey + "\n");
    for (int i = 0; i < tokens.size(); i++) {
      hash = Hash.extend(hash, tokens.get(i) + " ");
      if ((i + 1) % BLOCK_TOKENS == 0) {
        prefixes.add(Hash.hex(hash));
      }
    }
    return prefixes;
  }

  /**
   * Tells how hard a prompt is.
   *
   * @param prompt the prompt; a marker such as {@code [difficulty=0.7]} in it decides
   * @return the difficulty from 0 to 1; without a marker it follows from the text
   */
  public static double difficulty(String prompt) {
    Matcher marker = DIFFICULTY.matcher(prompt);
    if (marker.find()) {
      return Math.min(1, Double.parseDouble(marker.group(1)));
    }
    return Math.floorMod(Hash.of(prompt), (long) PERCENT) / (double) PERCENT;
  }
}
