package org.skylarkfork.core.configuration;

/**
 * What a team may use over all entries; 0 means no limit.
 *
 * @param requestsPerSecond requests a second
 * @param concurrentRequests requests at the same time
 * @param tokensPerMinute tokens, prompt and generated, a minute
 */
public record Limits(double requestsPerSecond, int concurrentRequests, long tokensPerMinute) {

  /** No limits. */
  public static final Limits NONE = new Limits(0, 0, 0);
}
