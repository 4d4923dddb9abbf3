package org.skylarkfork.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.skylarkfork.core.reachability.PathState;
import org.skylarkfork.core.reachability.UpstreamPaths;
import org.skylarkfork.core.rollout.AttemptCounts;

/** The attempts that this entry has sent, in progress or not, by version of each service. */
final class OpenAttempts {

  private static final AttemptCounts ONE_SENT = new AttemptCounts(1, 0, 0, 0, 0, 0);
  private static final AttemptCounts ONE_OPEN = new AttemptCounts(0, 1, 0, 0, 0, 0);

  private final Map<Long, Attempt> attemptByRequest = new HashMap<>();
  private final Map<Version, AttemptCounts> totalsByVersion = new LinkedHashMap<>();

  private record Version(String service, String name) {}

  private record Attempt(Version version, Instant sentAt, boolean answered) {}

  /** Says how long the other versions of a service take to answer. */
  interface UsualTimes {

    /**
     * Returns the mean time to the first byte of a service's other versions, in milliseconds; 0 if
     * unknown.
     */
    double millis(String service, String version);
  }

  /** Attempts at a version. */
  record VersionAttempts(String service, String version, AttemptCounts attempts) {}

  /** Records that an attempt at a request was sent, which replaces an earlier one. */
  void recordSent(long request, UpstreamInstance upstream, Instant now) {
    Version version = new Version(upstream.service(), upstream.version());
    attemptByRequest.put(request, new Attempt(version, now, false));
    totalsByVersion.merge(version, ONE_SENT, AttemptCounts::plus);
  }

  /** Records the first byte of the answer to a request's attempt. */
  void recordFirstByte(long request) {
    attemptByRequest.computeIfPresent(
        request, (number, open) -> new Attempt(open.version, open.sentAt, true));
  }

  /** Records that a request has no attempt in progress any more. */
  void recordEnded(long request) {
    attemptByRequest.remove(request);
  }

  /** Records that a request's attempt without a first byte is about to end. */
  void recordAbandoned(long request, Instant now) {
    Attempt attempt = attemptByRequest.get(request);
    if (attempt != null && !attempt.answered) {
      long millis = Math.max(0, Duration.between(attempt.sentAt, now).toMillis());
      AttemptCounts abandoned = new AttemptCounts(0, 0, 0, 0, 1, millis);
      totalsByVersion.merge(attempt.version, abandoned, AttemptCounts::plus);
    }
  }

  /** Restarts the numbers of attempts at a service at 0. */
  void restart(String service) {
    totalsByVersion.keySet().removeIf(version -> version.service.equals(service));
  }

  /**
   * Returns the attempts by version.
   *
   * @param usual usual times to the first byte; younger attempts don't count as unanswered
   * @param paths says over which links answers can be expected
   * @param now the present time
   */
  List<VersionAttempts> byVersion(UsualTimes usual, UpstreamPaths paths, Instant now) {
    Map<Version, AttemptCounts> countsByVersion = new LinkedHashMap<>(totalsByVersion);
    for (Attempt attempt : attemptByRequest.values()) {
      Version version = attempt.version;
      boolean isAwaited = !attempt.answered && paths.state(version.service) == PathState.DIRECT;
      long waitedMillis = Duration.between(attempt.sentAt, now).toMillis();
      boolean isLate = isAwaited && waitedMillis >= usual.millis(version.service, version.name);
      countsByVersion.merge(version, isLate ? late(waitedMillis) : ONE_OPEN, AttemptCounts::plus);
    }
    List<VersionAttempts> all = new ArrayList<>();
    countsByVersion.forEach(
        (version, attempts) ->
            all.add(new VersionAttempts(version.service, version.name, attempts)));
    return all;
  }

  private static AttemptCounts late(long waitedMillis) {
    return new AttemptCounts(0, 1, 1, Math.max(0, waitedMillis), 0, 0);
  }
}
