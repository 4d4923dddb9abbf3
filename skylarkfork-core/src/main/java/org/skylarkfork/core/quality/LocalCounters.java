package org.skylarkfork.core.quality;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** What this process counted in the epochs that may still change, and whom it has told. */
final class LocalCounters {

  private final String entry;
  private final long incarnation;

  /** The counts in the order of their last change. */
  private final LinkedHashMap<EpochKey, ChangedCounts> slots = new LinkedHashMap<>();

  private final Map<String, Long> sentUpTo = new HashMap<>();
  private long changes;

  LocalCounters(String entry, long incarnation) {
    this.entry = entry;
    this.incarnation = incarnation;
  }

  /** Adds counts to an epoch. */
  void add(long epoch, EvidenceKey key, long[] counts) {
    EpochKey slot = new EpochKey(epoch, key);
    ChangedCounts counted = slots.remove(slot);
    long[] sum = counted == null ? new long[Counters.SIZE] : counted.counts();
    Counters.add(sum, counts);
    changes++;
    slots.put(slot, new ChangedCounts(sum, changes));
  }

  /**
   * Returns what a peer was not yet told, the oldest change first.
   *
   * @param peer node name of the peer
   * @param limit bound for the number of counters
   */
  List<QualityCounters> unsentCounters(String peer, int limit) {
    long sent = sentUpTo.getOrDefault(peer, 0L);
    List<QualityCounters> unsent = new ArrayList<>();
    for (Map.Entry<EpochKey, ChangedCounts> slot : slots.entrySet()) {
      ChangedCounts counted = slot.getValue();
      if (counted.change() > sent && unsent.size() < limit) {
        unsent.add(toCounters(slot.getKey(), counted));
        sentUpTo.put(peer, counted.change());
      }
    }
    return unsent;
  }

  /** Forgets what a peer was told, so that it is told all again. */
  void resetPeer(String peer) {
    sentUpTo.remove(peer);
  }

  void removeBefore(long epoch) {
    slots.keySet().removeIf(slot -> slot.epoch() < epoch);
  }

  private QualityCounters toCounters(EpochKey slot, ChangedCounts counted) {
    List<Long> counts = Arrays.stream(counted.counts()).boxed().toList();
    return new QualityCounters(entry, incarnation, slot.epoch(), slot.key(), counts);
  }

  private record EpochKey(long epoch, EvidenceKey key) {}

  private record ChangedCounts(long[] counts, long change) {}
}
