package org.skylarkfork.core.configuration;

/**
 * A team's limits over all entries together; 0 means no limit.
 *
 * @param requestsPerSecond maximum number of requests per second
 * @param concurrentRequests maximum number of concurrent requests
 * @param tokensPerMinute maximum number of prompt and generated tokens per minute
 */
public record Limits(double requestsPerSecond, int concurrentRequests, long tokensPerMinute) {

  /** No limits. */
  public static final Limits NONE = new Limits(0, 0, 0);
}
