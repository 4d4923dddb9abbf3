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
 * Counts attempts, answers, failures and times to the first byte by version of each service at this
 * entry.
 */
public final class VersionStatistics {

  /** Time within which cut links show by connections that can't be opened. */
  private static final Duration CONFIRMATION_TIME = Duration.ofSeconds(1);

  private final Map<String, VersionCounts> counts = new LinkedHashMap<>();
  private final List<LostConnection> lost = new ArrayList<>();
  private final OpenAttempts attempts = new OpenAttempts();

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
        key(upstream.service(), upstream.version()),
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

  /** Records that an attempt at a request was sent, which replaces an earlier one. */
  void recordSent(long request, UpstreamInstance upstream, Instant now) {
    attempts.recordSent(request, upstream, now);
  }

  /** Records the first byte of the answer to a request's attempt. */
  void recordFirstByte(long request) {
    attempts.recordFirstByte(request);
  }

  /**
   * Records that a request's attempt ends unanswered for a reason of the caller's, if no first byte
   * has arrived. The version may be slower than callers wait.
   */
  void recordAbandoned(long request, Instant now) {
    attempts.recordAbandoned(request, now);
  }

  /** Records that a request has no attempt in progress any more. */
  void recordEnded(long request) {
    attempts.recordEnded(request);
  }

  /** Restarts the counts of a service at 0, so that they are of one roll-out only. */
  void restart(String service) {
    counts.values().removeIf(count -> count.service().equals(service));
    attempts.restart(service);
  }

  /**
   * Returns the counts by version with the attempts in progress, for a report.
   *
   * @param paths says of which services answers can be expected; attempts over links that may be
   *     cut wait for no fault of the upstream
   * @param now the present time
   */
  List<VersionCounts> report(UpstreamPaths paths, Instant now) {
    Map<String, VersionCounts> reported = new LinkedHashMap<>(counts);
    for (OpenAttempts.VersionAttempts version : attempts.byVersion(this::usualMillis, paths, now)) {
      reported.merge(
          key(version.service(), version.version()),
          new VersionCounts(version.service(), version.version(), 0, 0, 0, version.attempts()),
          (results, sent) -> results.withAttempts(sent.attempts()));
    }
    return List.copyOf(reported.values());
  }

  private double usualMillis(String service, String version) {
    long answers = 0;
    long millis = 0;
    for (VersionCounts count : counts.values()) {
      if (count.service().equals(service) && !count.version().equals(version)) {
        answers += count.answers() - count.failures();
        millis += count.firstByteMillis();
      }
    }
    return answers == 0 ? 0 : (double) millis / answers;
  }

  private static String key(String service, String version) {
    return service + "\n" + version;
  }

  /** Returns the results by version. */
  List<VersionCounts> allCounts() {
    return List.copyOf(counts.values());
  }
}
