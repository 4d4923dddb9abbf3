package org.skylarkfork.core.session;

import java.time.Duration;

/**
 * How sessions' pins are kept.
 *
 * @param queryTimeout longest wait for the owners of a session
 * @param expiry time since the last use after which a pin is forgotten
 * @param tokenLifetime how long a token is accepted
 * @param maxOwnedSessions most sessions kept for others; the longest unused go first
 * @param maxCachedSessions most sessions remembered for this daemon's own callers
 * @param emptyAnswerLifetime how long the owners' answer that there is no pin is believed
 * @param handoverRate most sessions a second that are looked at and sent to new owners
 */
public record SessionSettings(
    Duration queryTimeout,
    Duration expiry,
    Duration tokenLifetime,
    int maxOwnedSessions,
    int maxCachedSessions,
    Duration emptyAnswerLifetime,
    int handoverRate) {

  /**
   * Settings for everyday use.
   *
   * <p>Should the wait for owners end early, a session would get a version anew, which in the
   * middle of a roll-out is another one, and its caller would not be told. Half a second outlasts a
   * VM that is short of processor time; an owner that is lost costs it only until that is noticed.
   */
  public static final SessionSettings DEFAULT =
      new SessionSettings(
          Duration.ofMillis(500),
          Duration.ofHours(4),
          Duration.ofHours(24),
          50_000,
          20_000,
          Duration.ofSeconds(30),
          500);
}
