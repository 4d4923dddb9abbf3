package org.skylarkfork.core.membership;

import java.time.Duration;

/**
 * How the directory of upstreams works.
 *
 * @param silence time without an announcement after which an upstream is lost
 * @param forgetAfter how long a lost or ended upstream is remembered against late messages
 * @param spreadEvery shortest time between two rounds of passing on changes
 * @param spreadBatch most changes in one round, so that a burst costs bounded bytes a second
 * @param digestEvery time between two comparisons with a random daemon
 * @param directFanout up to so many daemons each gets changes from the owner itself; above it
 *     daemons of each zone pass them on in their zone
 * @param subset most upstreams of one pool whose load this daemon follows and to which it sends
 * @param loadEvery shortest time between two load reports of an upstream
 * @param loadBytesPerSecond bytes a second that load reports to this daemon may take
 */
public record DirectorySettings(
    Duration silence,
    Duration forgetAfter,
    Duration spreadEvery,
    int spreadBatch,
    Duration digestEvery,
    int directFanout,
    int subset,
    Duration loadEvery,
    int loadBytesPerSecond) {

  /** Settings that fit both today's and the largest planned size. */
  public static final DirectorySettings DEFAULT =
      new DirectorySettings(
          Duration.ofSeconds(3),
          Duration.ofMinutes(10),
          Duration.ofMillis(100),
          64,
          Duration.ofSeconds(2),
          32,
          64,
          Duration.ofMillis(250),
          1500);
}
