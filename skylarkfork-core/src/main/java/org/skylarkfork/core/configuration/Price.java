package org.skylarkfork.core.configuration;

import org.skylarkfork.core.request.Usage;

/**
 * The price of tokens, in millionths of the currency unit.
 *
 * @param promptMicrosPerThousand price of 1000 prompt tokens
 * @param completionMicrosPerThousand price of 1000 generated tokens
 */
public record Price(long promptMicrosPerThousand, long completionMicrosPerThousand) {

  private static final long THOUSAND = 1000;

  /** Returns the cost of a usage, rounded up, in millionths of the currency unit. */
  public long costMicros(Usage usage) {
    long total =
        promptMicrosPerThousand * usage.promptTokens()
            + completionMicrosPerThousand * usage.completionTokens();
    return (total + THOUSAND - 1) / THOUSAND;
  }
}
