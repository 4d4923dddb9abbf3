package org.skylarkfork.core.relay;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Counts what this entry sees of each version of each service. */
public final class VersionStatistics {

  private final Map<String, VersionCounts> counts = new LinkedHashMap<>();

  /** Adds a good answer and the time to its first byte, in milliseconds. */
  public void recordAnswer(UpstreamInstance upstream, long firstByteMillis) {
    add(upstream, 0, firstByteMillis);
  }

  /** Adds a failure. */
  public void recordFailure(UpstreamInstance upstream) {
    add(upstream, 1, 0);
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

  /** Returns the counts. */
  List<VersionCounts> allCounts() {
    return List.copyOf(counts.values());
  }
}
