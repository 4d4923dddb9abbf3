package org.skylarkfork.core.session;

import java.time.Duration;

/**
 * Limits and timeouts of the pins of sessions.
 *
 * @param queryTimeout maximum wait for the answers of a session's owners
 * @param expiry time since the last use after which a session's pins are removed
 * @param tokenLifetime time for which a token is accepted
 * @param maxOwnedSessions maximum number of sessions that this daemon owns; the least recently used
 *     are removed first
 * @param maxCachedSessions maximum number of sessions cached for this daemon's own callers
 * @param emptyAnswerLifetime time for which the owners' answer that there is no pin is cached
 * @param handoverRate maximum number of sessions per second that are checked and sent to new owners
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
   * Default settings.
   *
   * <p>If a query of the owners timed out too early, a new version would be chosen for the session.
   * During a roll-out this may be another version, and the caller would receive no notice. Half a
   * second is long enough for a VM that is short of processor time. A lost owner causes this delay
   * only until its loss is detected.
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
