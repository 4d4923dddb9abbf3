package org.skylarkfork.core.reachability;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * The entries that may open connections to upstreams for this one. The first few, which are of this
 * entry's zone if it has as many, are used in turn, the others if none of these can be used.
 */
final class Forwarders {

  /** Time for which an unusable forwarder isn't used; the leader lists others within a second. */
  private static final Duration AVOIDANCE = Duration.ofSeconds(1);

  private static final int PREFERRED = 4;

  private final Map<String, Instant> avoidedUntil = new HashMap<>();
  private List<String> nodes = List.of();
  private int next;

  /** Replaces the forwarders by those that the leader lists. */
  void update(List<String> listed) {
    nodes = List.copyOf(listed);
    avoidedUntil.keySet().retainAll(nodes);
  }

  /** Avoids a forwarder for a time. */
  void avoid(String node, Instant now) {
    if (nodes.contains(node)) {
      avoidedUntil.put(node, now.plus(AVOIDANCE));
    }
  }

  /** Returns the number of listed forwarders. */
  int count() {
    return nodes.size();
  }

  /** Returns whether a forwarder can be used. */
  boolean isAvailable(Instant now) {
    return nodes.stream().anyMatch(node -> isUsable(node, now));
  }

  private boolean isUsable(String node, Instant now) {
    return !now.isBefore(avoidedUntil.getOrDefault(node, Instant.EPOCH));
  }

  /** Returns the next forwarder, or null if there is none or all are avoided. */
  @Nullable String next(Instant now) {
    int preferred = Math.min(PREFERRED, nodes.size());
    String node = next(nodes.subList(0, preferred), now);
    return node == null ? next(nodes.subList(preferred, nodes.size()), now) : node;
  }

  private @Nullable String next(List<String> candidates, Instant now) {
    for (int step = 0; step < candidates.size(); step++) {
      next = (next + 1) % candidates.size();
      if (isUsable(candidates.get(next), now)) {
        return candidates.get(next);
      }
    }
    return null;
  }
}
