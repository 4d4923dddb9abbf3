package org.skylarkfork.core.attempt;

import java.time.Duration;

/**
 * Limits and timeouts of request processing.
 *
 * @param maxRequests maximum number of concurrent requests of this entry
 * @param maxHeldBytes maximum bytes of answers held for rating, recording or billing, over all
 *     requests
 * @param maxAttempts maximum attempts for one step of a plan or one call, including the first
 * @param maxBackoffs maximum number of times that a request waits for a free upstream
 * @param firstBackoff longest duration of the first backoff; it doubles with each further backoff
 * @param tokenTimeout longest time between two tokens before an attempt fails, and the shortest
 *     timeout of the first token
 * @param maxFirstTokenTimeout longest timeout of the first token
 * @param watchdogGrace time added to the timeouts of the runtime before this part fails an attempt
 *     itself, since the runtime knows more precisely how far the attempt had progressed
 * @param pinTimeout longest wait for the owners of a session; longer than the wait of the session
 *     part, which determines more precisely when to stop waiting
 * @param ratingTimeout longest wait for a rating
 * @param deliveryTimeout longest wait for the confirmation that a sent answer was delivered
 * @param retryShare retries allowed per request, on average
 * @param retryReserve initial and maximum balance of the retry budget
 * @param hedgeShare hedges allowed per lookup, on average
 * @param hedgePercentile percentile of a service's recent durations after which a lookup is hedged
 * @param hedgeSamples minimum number of recorded durations before lookups are hedged
 * @param sampledRatingShare base share of the answers that are rated after delivery
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

  /** Defaults for an entry VM with a few cores and 1 GB of memory. */
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
