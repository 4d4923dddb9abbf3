package org.skylarkfork.standin.text;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Writes answers whose owner, length and quality can be checked afterwards. */
public final class AnswerText {

  /** The word that stands in a bad answer in place of each right one. */
  public static final String WRONG = "wrong";

  private static final List<String> WORDS =
      List.of(
          "the", "valve", "bike", "was", "checked", "before", "noon", "and", "found", "in", "order",
          "by", "referee", "boiler", "swim", "split", "rule", "seven", "applies", "here");
  private static final Pattern PROMPT = Pattern.compile("\\[prompt=([0-9a-f]{16})]");
  private static final Pattern LENGTH = Pattern.compile("\\[tokens=(\\d+)]");

  /** What a check of an answer finds. */
  public enum Finding {
    /** The answer belongs to the prompt and is whole. */
    WHOLE,
    /** The answer belongs to another prompt or names none. */
    FOREIGN,
    /** Tokens are missing. */
    CUT,
    /** There are more tokens than the answer had, so some came twice. */
    DOUBLED
  }

  private AnswerText() {}

  /**
   * Writes an answer, the same for the same arguments.
   *
   * @param modelKey the model and version, with a colon between
   * @param prompt the prompt
   * @param requestId the id of the request
   * @param minTokens the fewest tokens, unless the limit is lower
   * @param maxTokens the most tokens, at least 1
   * @param bad whether the words are wrong
   * @return the tokens, each with a space at its end
   */
  public static List<String> tokens(
      String modelKey, String prompt, String requestId, int minTokens, int maxTokens, boolean bad) {
    long seed = Hash.of(modelKey + "\n" + prompt + "\n" + requestId);
    UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(seed);
    int length = minTokens >= maxTokens ? maxTokens : random.nextInt(minTokens, maxTokens + 1);
    List<String> tokens = new ArrayList<>(length);
    tokens.add("[prompt=" + Hash.hex(Hash.of(prompt)) + "] ");
    double difficulty = PromptText.difficulty(prompt);
    tokens.add(String.format(Locale.ROOT, "[difficulty=%.2f] ", difficulty));
    tokens.add("[tokens=" + length + "] ");
    while (tokens.size() < length) {
      String word = WORDS.get(random.nextInt(WORDS.size()));
      tokens.add((bad ? WRONG : word) + " ");
    }
    return List.copyOf(tokens.subList(0, length));
  }

  /**
   * Checks that a caller received the whole answer to its own prompt.
   *
   * @param prompt the prompt as the engine saw it
   * @param answer the text that the caller received
   * @return what is right or wrong with it
   */
  public static Finding check(String prompt, String answer) {
    Matcher owner = PROMPT.matcher(answer);
    if (!owner.find() || !owner.group(1).equals(Hash.hex(Hash.of(prompt)))) {
      return Finding.FOREIGN;
    }
    Matcher length = LENGTH.matcher(answer);
    int received = PromptText.tokens(answer).size();
    if (!length.find() || received < Integer.parseInt(length.group(1))) {
      return Finding.CUT;
    }
    return received > Integer.parseInt(length.group(1)) ? Finding.DOUBLED : Finding.WHOLE;
  }

  /**
   * Tells which share of an answer is wrong.
   *
   * @param answer the text of an answer
   * @return the share of wrong words, from 0 to 1
   */
  public static double wrongShare(String answer) {
    List<String> words =
        PromptText.tokens(answer).stream().filter(word -> !word.startsWith("[")).toList();
    long wrong = words.stream().filter(WRONG::equals).count();
    return words.isEmpty() ? 0 : wrong / (double) words.size();
  }
}
