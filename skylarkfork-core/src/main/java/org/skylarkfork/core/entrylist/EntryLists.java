package org.skylarkfork.core.entrylist;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.routing.StableHash;

/**
 * The lists that follow from one state of all entries. Immutable; it is computed once for each
 * change of an entry and shared by all polls and look-ups until the next one, so that their cost
 * doesn't become quadratic in the number of entries.
 */
public final class EntryLists {

  /**
   * Maximum number of entries that are sent to each entry for selections of its own. With more, the
   * messages to all entries after each change would take too long on the leader's link, so an entry
   * gets one selection for all callers.
   */
  private static final int MAX_SELECTABLE = 128;

  /** Factor between the largest and the smallest weight up to which entries count as equal. */
  private static final double MAX_EVEN_RATIO = 1.25;

  /**
   * Minimum number of engines in the group of one scheduler. Smaller groups would be loaded too
   * unevenly, since prompts are assigned to groups by hash.
   */
  private static final int MIN_GROUP_SIZE = 16;

  /** Maximum number of entries of its zone, and of others, that forward connections of an entry. */
  private static final int MAX_FORWARDERS = 4;

  private final List<ListedEntry> entries;
  private final int[] weights;
  private final boolean even;
  private final List<NamedEntry> offered = new ArrayList<>();
  private final int selectionSize;
  private final List<NamedEntry> selectable;
  private final String selectableHash;
  private final Map<String, Integer> indices = new HashMap<>();

  /**
   * Creates the lists.
   *
   * @param sorted all entries in the order of their names
   * @param weighted whether the entries' capacities count; without, all count as equal
   */
  public EntryLists(List<ListedEntry> sorted, boolean weighted) {
    entries = List.copyOf(sorted);
    int[] ownWeights = EntryWeights.of(entries.stream().map(ListedEntry::capacity).toList());
    even = !weighted || isEven(ownWeights);
    weights = ownWeights;
    boolean includesBusy = includesBusy();
    for (int index = 0; index < entries.size(); index++) {
      ListedEntry entry = entries.get(index);
      indices.put(entry.node(), index);
      if (entry.serving() && (includesBusy || !entry.busy())) {
        int weight = even ? NamedEntry.MAX_WEIGHT : weights[index];
        offered.add(new NamedEntry(entry.address(), entry.zone(), weight));
      }
    }
    selectionSize = WeightedSelection.size(offered);
    boolean namesAll = selectionSize == offered.size();
    selectable = namesAll || offered.size() > MAX_SELECTABLE ? List.of() : List.copyOf(offered);
    selectableHash = hash(selectable);
  }

  private static String hash(List<NamedEntry> named) {
    String[] texts = new String[named.size() * 3];
    int index = 0;
    for (NamedEntry entry : named) {
      texts[index++] = entry.address();
      texts[index++] = entry.zone();
      texts[index++] = Integer.toString(entry.weight());
    }
    return Long.toString(StableHash.of(texts));
  }

  private static boolean isEven(int[] weights) {
    int smallest = NamedEntry.MAX_WEIGHT;
    for (int weight : weights) {
      smallest = Math.min(smallest, weight);
    }
    return smallest * MAX_EVEN_RATIO >= NamedEntry.MAX_WEIGHT;
  }

  /**
   * Returns whether busy entries are offered to callers: if more than half of the serving entries
   * are busy. Leaving out a few slow entries is harmless, but if most are busy, it would only slow
   * down the others.
   */
  private boolean includesBusy() {
    long serving = entries.stream().filter(ListedEntry::serving).count();
    long available = entries.stream().filter(one -> one.serving() && !one.busy()).count();
    return available * 2 < serving;
  }

  /** Returns whether the weights differ so much that lists name entries by weight. */
  public boolean weighted() {
    return !even;
  }

  /** Returns a description of the weights for the log, without line breaks. */
  public String describe() {
    int smallest = NamedEntry.MAX_WEIGHT;
    for (int weight : weights) {
      smallest = Math.min(smallest, weight);
    }
    return "smallest="
        + smallest
        + " largest="
        + NamedEntry.MAX_WEIGHT
        + " named="
        + selectionSize
        + " weighted="
        + !even;
  }

  /**
   * Returns the entries from which an entry selects lists for its callers; empty if it names the
   * same list to all of them.
   */
  public List<NamedEntry> selectable() {
    return selectable;
  }

  /** Returns a text that changes with {@link #selectable}, for versions of messages. */
  public String selectableHash() {
    return selectableHash;
  }

  /**
   * Returns the addresses for a caller, entries of its zone first.
   *
   * <p>A caller drops its connections to entries that a new list lacks, so a requester gets the
   * same selection until an entry changes.
   *
   * @param zone the caller's availability zone
   * @param requester identifies the caller; empty if unknown
   * @param lookups number of look-ups before this one, which varies the lists of unknown callers
   */
  public List<String> callerAddresses(String zone, String requester, int lookups) {
    if (selectionSize == offered.size() || (even && requester.isEmpty())) {
      return inOrder(zone, lookups);
    }
    String key = requester.isEmpty() ? Integer.toString(lookups) : requester;
    return WeightedSelection.select(offered, key, zone);
  }

  /**
   * Returns the index of an entry in the order of names.
   *
   * @throws IllegalArgumentException if there is no such entry
   */
  public int indexOf(String node) {
    Integer index = indices.get(node);
    if (index == null) {
      throw new IllegalArgumentException(node + " has not polled this control VM");
    }
    return index;
  }

  /**
   * Returns the addresses that an entry names to all its callers, entries of its zone first.
   *
   * @param index index of the entry in the order of names
   */
  public List<String> addressesOf(int index) {
    ListedEntry entry = entries.get(index);
    return even || selectionSize == offered.size()
        ? inOrder(entry.zone(), index)
        : WeightedSelection.select(offered, entry.node(), entry.zone());
  }

  /**
   * Returns the names of the other entries in the order of names, starting after an entry and
   * wrapping around.
   *
   * @param index index of the entry in the order of names
   */
  public List<String> othersInOrder(int index) {
    List<String> others = new ArrayList<>();
    for (int step = 1; step < entries.size(); step++) {
      others.add(entries.get((index + step) % entries.size()).node());
    }
    return others;
  }

  /**
   * Returns the entries that may open connections to upstreams for another one: up to {@link
   * #MAX_FORWARDERS} available entries of its zone, then as many of other zones, which serve if the
   * links of a whole zone fail.
   *
   * @param index index of the other entry in the order of names
   */
  public List<String> forwarders(int index) {
    List<String> sameZone = new ArrayList<>();
    List<String> otherZones = new ArrayList<>();
    String zone = entries.get(index).zone();
    for (int step = 1; step < entries.size(); step++) {
      ListedEntry entry = entries.get((index + step) % entries.size());
      List<String> chosen = entry.zone().equals(zone) ? sameZone : otherZones;
      if (entry.serving() && !entry.busy() && chosen.size() < MAX_FORWARDERS) {
        chosen.add(entry.node());
      }
    }
    sameZone.addAll(otherZones);
    return sameZone;
  }

  /**
   * Returns the offered entries in the order of names, from an index on if not all can be named.
   *
   * <p>If there are more entries than can be named, each look-up without a requester receives a
   * different part. With the same part for all callers, a third of 91 entries received a fifth of
   * the load of the others.
   */
  private List<String> inOrder(String zone, int offset) {
    int first = offered.size() > selectionSize ? offset : 0;
    List<String> sameZone = new ArrayList<>();
    List<String> otherZones = new ArrayList<>();
    for (int step = 0; step < selectionSize; step++) {
      NamedEntry entry = offered.get(Math.floorMod(first + step, offered.size()));
      (entry.zone().equals(zone) ? sameZone : otherZones).add(entry.address());
    }
    sameZone.addAll(otherZones);
    return sameZone;
  }

  /**
   * Returns the entries that place prompts, one for each group of engines; empty if too few entries
   * are available.
   *
   * <p>The number of groups is a power of two, so that it changes seldom; each change moves at
   * least half of the prompts. Each group ranks the entries by rendezvous hashing and gets the
   * first one that is not busy and serves no other group, so that the loss of one scheduler changes
   * only its own group.
   *
   * @param engines number of engines on which prompts are placed
   */
  public List<String> schedulers(int engines) {
    int maxGroups = Math.min(engines / MIN_GROUP_SIZE, entries.size() / 2);
    int groups = Math.max(1, Integer.highestOneBit(Math.max(1, maxGroups)));
    List<String> candidates = schedulerCandidates(groups);
    List<String> schedulers = new ArrayList<>();
    for (int group = 0; group < groups && schedulers.size() < candidates.size(); group++) {
      String number = Integer.toString(group);
      @Nullable String best =
          candidates.stream()
              .filter(node -> !schedulers.contains(node))
              .max(Comparator.comparingLong(node -> StableHash.of(node, number)))
              .orElse(null);
      if (best != null) {
        schedulers.add(best);
      }
    }
    return schedulers.size() == groups ? schedulers : List.of();
  }

  /**
   * Returns the entries that may be schedulers: those with the largest weights, since placement
   * costs processor time, and all whose weight is nearly as large as the last of these.
   */
  private List<String> schedulerCandidates(int groups) {
    List<Integer> available = new ArrayList<>();
    for (int index = 0; index < entries.size(); index++) {
      if (entries.get(index).serving() && !entries.get(index).busy()) {
        available.add(index);
      }
    }
    int least = even ? 0 : leastSchedulerWeight(groups);
    List<String> largest =
        available.stream()
            .filter(index -> weights[index] >= least)
            .map(index -> entries.get(index).node())
            .toList();
    return largest.size() >= groups
        ? largest
        : available.stream().map(index -> entries.get(index).node()).toList();
  }

  /**
   * Returns the weight of the smallest entry that may be a scheduler. It depends on all entries and
   * not on those available now, so that a busy entry doesn't change the schedulers of other groups.
   */
  private int leastSchedulerWeight(int groups) {
    int[] sorted = weights.clone();
    Arrays.sort(sorted);
    int last = Math.max(0, sorted.length - groups);
    return sorted.length == 0 ? 0 : (int) (sorted[last] / MAX_EVEN_RATIO);
  }
}
