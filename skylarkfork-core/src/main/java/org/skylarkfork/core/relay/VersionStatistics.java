package org.skylarkfork.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.skylarkfork.core.reachability.PathState;
import org.skylarkfork.core.reachability.UpstreamPaths;
import org.skylarkfork.core.rollout.VersionCounts;

/**
 * Counts answers, failures and times to the first byte by version of each service at this entry.
 */
public final class VersionStatistics {

  /** Time within which cut links show by connections that can't be opened. */
  private static final Duration CONFIRMATION_TIME = Duration.ofSeconds(1);

  private final Map<String, VersionCounts> counts = new LinkedHashMap<>();
  private final List<LostConnection> lost = new ArrayList<>();

  /** A failure whose cause may be the upstream or this entry's own links. */
  private record LostConnection(UpstreamInstance upstream, Instant at) {}

  /** Records a successful answer and the time to its first byte, in milliseconds. */
  public void recordAnswer(UpstreamInstance upstream, long firstByteMillis) {
    add(upstream, 0, firstByteMillis);
  }

  /** Records a failure. */
  public void recordFailure(UpstreamInstance upstream) {
    add(upstream, 1, 0);
  }

  /**
   * Records the loss of a connection that carried a request, which counts as a failure once the
   * entry's own links have proved to work.
   *
   * <p>All connections of an entry whose links are cut may be reset at once. Counted as failures of
   * the version that happens to run there, they would roll a sound version back.
   */
  void recordLoss(UpstreamInstance upstream, Instant now) {
    lost.add(new LostConnection(upstream, now));
  }

  /** Counts the losses whose links work, and forgets those over links that were cut. */
  void confirmLosses(UpstreamPaths paths, Instant now) {
    lost.removeIf(
        loss -> {
          PathState state = paths.state(loss.upstream().service());
          boolean confirmed = !now.isBefore(loss.at().plus(CONFIRMATION_TIME));
          if (state == PathState.DIRECT && confirmed) {
            recordFailure(loss.upstream());
          }
          return state == PathState.FORWARDED || state == PathState.DIRECT && confirmed;
        });
  }

  private void add(UpstreamInstance upstream, int failures, long millis) {
    counts.merge(
        upstream.service() + "\n" + upstream.version(),
        new VersionCounts(upstream.service(), upstream.version(), 1, failures, millis),
        VersionStatistics::sum);
  }

  private static VersionCounts sum(VersionCounts one, VersionCounts other) {
    return new VersionCounts(
        one.service(),
        one.version(),
        one.answers() + other.answers(),
        one.failures() + other.failures(),
        one.firstByteMillis() + other.firstByteMillis());
  }

  /** Restarts the counts of a service at 0, so that they are of one roll-out only. */
  void restart(String service) {
    counts.values().removeIf(count -> count.service().equals(service));
  }

  /** Returns the counts by version. */
  List<VersionCounts> allCounts() {
    return List.copyOf(counts.values());
  }
}
