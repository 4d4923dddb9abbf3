package org.skylarkfork.core.placement;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/** The work that other entries have at one upstream, as they told last. */
public final class PeerLoads {

  /** Age at which word of an entry no longer counts; it is repeated three times in this time. */
  private static final Duration OLDEST = Duration.ofMillis(1300);

  private final Map<String, Told> byPeer = new HashMap<>();

  private record Told(int running, double waitingMillis, Instant at) {}

  /**
   * Takes note of what an entry told.
   *
   * @param peer the entry
   * @param running its requests that run or wait there
   * @param waitingMillis work of those whose answer has not begun
   * @param now the present time
   */
  public void update(String peer, int running, double waitingMillis, Instant now) {
    if (running == 0) {
      byPeer.remove(peer);
    } else {
      byPeer.put(peer, new Told(running, waitingMillis, now));
    }
  }

  /** Returns the requests of other entries that run or wait there. */
  public int running(Instant now) {
    int sum = 0;
    for (Told told : byPeer.values()) {
      sum += counts(told, now) ? told.running : 0;
    }
    return sum;
  }

  /** Returns the work of other entries whose answer has not begun, in milliseconds. */
  public double waitingMillis(Instant now) {
    double sum = 0;
    for (Told told : byPeer.values()) {
      sum += counts(told, now) ? told.waitingMillis : 0;
    }
    return sum;
  }

  private static boolean counts(Told told, Instant now) {
    return now.isBefore(told.at.plus(OLDEST));
  }
}
