package org.skylarkfork.core.entrylist;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.skylarkfork.core.routing.StableHash;

/**
 * Selects entries for a requester, each with a probability in proportion to its weight.
 *
 * <p>The selection is a weighted rendezvous hash: each entry gets a rank from its weight and a hash
 * of the requester's key and its address, and the entries with the lowest ranks are selected. The
 * rank is that of Pareto sampling, with which the share of requesters that an entry is named to is
 * in proportion to its weight also if half of the entries are selected. With the logarithmic rank
 * of the usual weighted rendezvous hash, the selections of a large part of the entries would name
 * large entries too rarely, since no entry can be selected twice.
 */
public final class WeightedSelection {

  /** Maximum number of selected entries; enough to spread any number of callers. */
  public static final int MAX_SELECTED = 64;

  /** Minimum number of selected entries, so that callers can avoid failed ones. */
  private static final int MIN_SELECTED = 8;

  private static final int HASH_BITS_DROPPED = 11;
  private static final double HASH_UNIT = 0x1.0p-53;

  private WeightedSelection() {}

  /** An entry with its hash for a requester, from 0 to 1, and its rank; the lowest is first. */
  private record Ranked(NamedEntry entry, double hash, double rank) {}

  /**
   * Returns the number of entries that a selection names.
   *
   * <p>A larger selection could not name the largest entry in proportion to its weight, since it
   * would have to name it more than once.
   */
  public static int size(List<NamedEntry> entries) {
    long total = 0;
    int largest = 1;
    for (NamedEntry entry : entries) {
      total += entry.weight();
      largest = Math.max(largest, entry.weight());
    }
    long proportional = Math.min(MAX_SELECTED, total / largest);
    return (int) Math.min(entries.size(), Math.max(MIN_SELECTED, proportional));
  }

  /**
   * Returns the addresses of the selected entries, those of the requester's zone first; the same
   * for the same arguments, in whatever order the entries are.
   *
   * @param entries the entries to select from, all different
   * @param key identifies the requester
   * @param zone the requester's availability zone; empty if unknown
   */
  public static List<String> select(List<NamedEntry> entries, String key, String zone) {
    int size = size(entries);
    List<Ranked> ranked = rank(entries, key, size);
    ranked.sort(Comparator.comparingDouble(Ranked::rank).thenComparing(one -> one.entry.address()));
    List<Ranked> selected = ranked.subList(0, size);
    // Each requester gets an order of its own, for callers that begin with the first entry.
    selected.sort(Comparator.comparingDouble(Ranked::hash));
    List<String> sameZone = new ArrayList<>();
    List<String> otherZones = new ArrayList<>();
    for (Ranked one : selected) {
      (one.entry.zone().equals(zone) ? sameZone : otherZones).add(one.entry.address());
    }
    sameZone.addAll(otherZones);
    return sameZone;
  }

  private static List<Ranked> rank(List<NamedEntry> entries, String key, int size) {
    double perWeight = probabilityPerWeight(entries, size);
    List<Ranked> ranked = new ArrayList<>(entries.size());
    for (NamedEntry entry : entries) {
      double hash = ((StableHash.of(key, entry.address()) >>> HASH_BITS_DROPPED) + 0.5) * HASH_UNIT;
      double probability = Math.min(1, entry.weight() * perWeight);
      double rank = hash * (1 - probability) / ((1 - hash) * probability);
      ranked.add(new Ranked(entry, hash, rank));
    }
    return ranked;
  }

  /**
   * Returns the probability of an entry of weight 1.
   *
   * <p>Entries so large that their probability would exceed 1 are selected always, and the others
   * share the rest of the selection.
   */
  private static double probabilityPerWeight(List<NamedEntry> entries, int size) {
    int[] weights = entries.stream().mapToInt(NamedEntry::weight).sorted().toArray();
    long rest = 0;
    for (int weight : weights) {
      rest += weight;
    }
    int places = size;
    int last = weights.length - 1;
    while (last > 0 && places > 1 && (long) weights[last] * places > rest) {
      rest -= weights[last];
      places--;
      last--;
    }
    return (double) places / Math.max(1, rest);
  }
}
