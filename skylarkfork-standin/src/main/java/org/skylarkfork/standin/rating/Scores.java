package org.skylarkfork.standin.rating;

import java.util.Map;
import org.skylarkfork.standin.text.AnswerText;
import org.skylarkfork.standin.text.PromptText;

/** Scores an answer by the hidden quality of its version, the prompt and the wrong words. */
public final class Scores {

  private static final double DEFAULT_QUALITY = 0.5;
  private static final double EVEN = 0.5;

  private final Map<String, Double> qualities;

  /**
   * Makes the scores of some versions.
   *
   * @param qualities the hidden quality of each {@code model:version}, from 0 to 1
   */
  public Scores(Map<String, Double> qualities) {
    this.qualities = Map.copyOf(qualities);
  }

  /**
   * Scores an answer. A version scores 0.5 where its quality equals the difficulty of the prompt;
   * wrong words lower the score in proportion.
   *
   * @param modelKey the model and version, with a colon between
   * @param prompt the prompt, whose marker gives the difficulty
   * @param answer the text of the answer
   * @param noise is added to the score
   * @return the score from 0 to 1
   */
  public double score(String modelKey, String prompt, String answer, double noise) {
    double quality = qualities.getOrDefault(modelKey, DEFAULT_QUALITY);
    double margin = quality - PromptText.difficulty(prompt);
    double right = 1 - AnswerText.wrongShare(answer);
    return clamp(clamp(EVEN + margin + noise) * right);
  }

  private static double clamp(double score) {
    return Math.max(0, Math.min(1, score));
  }
}
