package org.skylarkfork.core.placement;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/** The load at one upstream that other entries have last reported. */
public final class PeerLoads {

  /** Age at which a report expires; entries repeat their reports three times in this time. */
  private static final Duration MAX_AGE = Duration.ofMillis(1300);

  private final Map<String, Report> byPeer = new HashMap<>();

  private record Report(int running, double waitingMillis, Instant receivedAt) {}

  /**
   * Replaces the report of an entry.
   *
   * @param peer name of the entry
   * @param running number of its requests that run or wait at the upstream; 0 removes its report
   * @param waitingMillis work of those requests whose answer has not begun, in milliseconds
   * @param now the present time
   */
  public void update(String peer, int running, double waitingMillis, Instant now) {
    if (running == 0) {
      byPeer.remove(peer);
    } else {
      byPeer.put(peer, new Report(running, waitingMillis, now));
    }
  }

  /** Returns the number of requests of other entries that run or wait at the upstream. */
  public int running(Instant now) {
    int sum = 0;
    for (Report report : byPeer.values()) {
      sum += isCurrent(report, now) ? report.running : 0;
    }
    return sum;
  }

  /** Returns the work of other entries' requests whose answer has not begun, in milliseconds. */
  public double waitingMillis(Instant now) {
    double sum = 0;
    for (Report report : byPeer.values()) {
      sum += isCurrent(report, now) ? report.waitingMillis : 0;
    }
    return sum;
  }

  private static boolean isCurrent(Report report, Instant now) {
    return now.isBefore(report.receivedAt.plus(MAX_AGE));
  }
}
