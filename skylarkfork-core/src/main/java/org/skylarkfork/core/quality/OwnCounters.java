package org.skylarkfork.core.quality;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** What this process counted in the epochs that may still change, and whom it has told. */
final class OwnCounters {

  private final String entry;
  private final long incarnation;

  /** The counts in the order of their last change. */
  private final LinkedHashMap<Slot, Counted> slots = new LinkedHashMap<>();

  private final Map<String, Long> toldUpTo = new HashMap<>();
  private long changes;

  OwnCounters(String entry, long incarnation) {
    this.entry = entry;
    this.incarnation = incarnation;
  }

  /** Adds counts to an epoch. */
  void add(long epoch, EvidenceKey key, long[] counts) {
    Slot slot = new Slot(epoch, key);
    Counted counted = slots.remove(slot);
    long[] sum = counted == null ? new long[Counters.SIZE] : counted.counts();
    Counters.add(sum, counts);
    changes++;
    slots.put(slot, new Counted(sum, changes));
  }

  /**
   * Returns what a peer was not yet told, the oldest change first.
   *
   * @param peer node name of the peer
   * @param most bound for the number of counters
   */
  List<QualityCounters> news(String peer, int most) {
    long told = toldUpTo.getOrDefault(peer, 0L);
    List<QualityCounters> news = new ArrayList<>();
    for (Map.Entry<Slot, Counted> slot : slots.entrySet()) {
      Counted counted = slot.getValue();
      if (counted.change() > told && news.size() < most) {
        news.add(message(slot.getKey(), counted));
        toldUpTo.put(peer, counted.change());
      }
    }
    return news;
  }

  /** Forgets what a peer was told, so that it is told all again. */
  void forgetPeer(String peer) {
    toldUpTo.remove(peer);
  }

  void forgetBefore(long epoch) {
    slots.keySet().removeIf(slot -> slot.epoch() < epoch);
  }

  private QualityCounters message(Slot slot, Counted counted) {
    List<Long> counts = Arrays.stream(counted.counts()).boxed().toList();
    return new QualityCounters(entry, incarnation, slot.epoch(), slot.key(), counts);
  }

  private record Slot(long epoch, EvidenceKey key) {}

  private record Counted(long[] counts, long change) {}
}
