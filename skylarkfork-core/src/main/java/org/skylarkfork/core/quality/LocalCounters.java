package org.skylarkfork.core.quality;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The counters of this process in the epochs that may still change, and what each peer was sent.
 */
final class LocalCounters {

  private final String entry;
  private final long incarnation;

  /** Counts in the order of their last change. */
  private final LinkedHashMap<EpochKey, ChangedCounts> countsByKey = new LinkedHashMap<>();

  private final Map<String, Long> sentUpTo = new HashMap<>();
  private long changes;

  LocalCounters(String entry, long incarnation) {
    this.entry = entry;
    this.incarnation = incarnation;
  }

  /** Adds counts to an epoch. */
  void add(long epoch, EvidenceKey key, long[] counts) {
    EpochKey epochKey = new EpochKey(epoch, key);
    ChangedCounts counted = countsByKey.remove(epochKey);
    long[] sum = counted == null ? new long[Counters.SIZE] : counted.counts();
    Counters.add(sum, counts);
    changes++;
    countsByKey.put(epochKey, new ChangedCounts(sum, changes));
  }

  /**
   * Returns the counters that a peer was not yet sent, the oldest change first, and marks them as
   * sent.
   *
   * @param peer node name of the peer
   * @param limit maximum number of counters
   */
  List<QualityCounters> unsentCounters(String peer, int limit) {
    long sent = sentUpTo.getOrDefault(peer, 0L);
    List<QualityCounters> unsent = new ArrayList<>();
    for (Map.Entry<EpochKey, ChangedCounts> counter : countsByKey.entrySet()) {
      ChangedCounts counted = counter.getValue();
      if (counted.change() > sent && unsent.size() < limit) {
        unsent.add(toCounters(counter.getKey(), counted));
        sentUpTo.put(peer, counted.change());
      }
    }
    return unsent;
  }

  /** Forgets what a peer was sent, so that all counters are sent to it again. */
  void resetPeer(String peer) {
    sentUpTo.remove(peer);
  }

  void removeBefore(long epoch) {
    countsByKey.keySet().removeIf(epochKey -> epochKey.epoch() < epoch);
  }

  private QualityCounters toCounters(EpochKey epochKey, ChangedCounts counted) {
    List<Long> counts = Arrays.stream(counted.counts()).boxed().toList();
    return new QualityCounters(entry, incarnation, epochKey.epoch(), epochKey.key(), counts);
  }

  private record EpochKey(long epoch, EvidenceKey key) {}

  private record ChangedCounts(long[] counts, long change) {}
}
