package org.skylarkfork.core.attempt;

import java.time.Duration;

/**
 * Bounds of the life of a request.
 *
 * @param maxRequests requests that this entry holds at the same time
 * @param maxHeldBytes bytes of answers held for rating, recording or billing, over all requests
 * @param maxAttempts attempts for one step of a plan or one call, the first included
 * @param maxBackoffs how often a request waits for an upstream to become free
 * @param firstBackoff length of the first such wait; each later one is twice as long
 * @param tokenTimeout longest time between two tokens before an attempt fails, and the least that
 *     an engine has for its first token
 * @param maxFirstTokenTimeout most that an engine has for its first token
 * @param watchdogGrace how much longer than the runtime this part waits, since the runtime knows
 *     better how far an attempt had got
 * @param pinTimeout longest wait for the owners of a session; longer than that of the sessions'
 *     part, which knows better when to give up
 * @param ratingTimeout longest wait for a rating
 * @param deliveryTimeout how long a sent answer is watched for its delivery
 * @param retryShare retries for each request, on average
 * @param retryReserve retries that are there before any request came
 * @param hedgeShare hedges for each lookup, on average
 * @param hedgePercentile percentile of a service's measured times after which a lookup is hedged
 * @param hedgeSamples measured times without which no lookup is hedged
 * @param sampledRatingShare share of the answers without a needed rating that are rated afterwards
 */
public record RequestSettings(
    int maxRequests,
    long maxHeldBytes,
    int maxAttempts,
    int maxBackoffs,
    Duration firstBackoff,
    Duration tokenTimeout,
    Duration maxFirstTokenTimeout,
    Duration watchdogGrace,
    Duration pinTimeout,
    Duration ratingTimeout,
    Duration deliveryTimeout,
    double retryShare,
    int retryReserve,
    double hedgeShare,
    double hedgePercentile,
    int hedgeSamples,
    double sampledRatingShare) {

  /** Bounds for an entry VM of a few cores and 1 GB. */
  public static final RequestSettings DEFAULT =
      new RequestSettings(
          10_000,
          64L << 20,
          5,
          6,
          Duration.ofMillis(50),
          Duration.ofSeconds(5),
          Duration.ofSeconds(20),
          Duration.ofMillis(250),
          Duration.ofMillis(700),
          Duration.ofSeconds(2),
          Duration.ofSeconds(60),
          0.1,
          20,
          0.05,
          95.0,
          50,
          0.1);
}
