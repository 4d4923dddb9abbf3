package org.skylarkfork.core.quality;

/** Classes of prompts by length; quality is estimated per class, since long prompts are harder. */
public enum SizeClass {
  /** Below 500 tokens. */
  SHORT,
  /** Below 2000 tokens. */
  MEDIUM,
  /** Any longer prompt. */
  LONG;

  private static final int SHORT_BELOW = 500;
  private static final int MEDIUM_BELOW = 2_000;

  /** Returns the class of a prompt. */
  public static SizeClass of(int promptTokens) {
    if (promptTokens < SHORT_BELOW) {
      return SHORT;
    }
    return promptTokens < MEDIUM_BELOW ? MEDIUM : LONG;
  }
}
