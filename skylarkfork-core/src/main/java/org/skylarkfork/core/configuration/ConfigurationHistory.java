package org.skylarkfork.core.configuration;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;

/** The newest accepted changes, bounded by their number and by the objects that they carry. */
final class ConfigurationHistory {

  static final int MAX_ENTRIES = 2000;
  static final int MAX_WEIGHT = 60_000;

  private final Deque<RevisionEntry> entries = new ArrayDeque<>();
  private int weight;

  void add(RevisionEntry entry) {
    entries.addLast(entry);
    weight += entry.step().weight();
    while (entries.size() > MAX_ENTRIES || (weight > MAX_WEIGHT && entries.size() > 1)) {
      weight -= entries.removeFirst().step().weight();
    }
  }

  void replace(Collection<RevisionEntry> restored) {
    entries.clear();
    weight = 0;
    restored.forEach(this::add);
  }

  List<RevisionEntry> entries() {
    return List.copyOf(entries);
  }

  /** Returns the oldest revision that can be told from the present one. */
  long oldest(Configuration current) {
    return entries.isEmpty() ? current.revision() : entries.getFirst().step().from();
  }

  /** Returns the configuration at a revision, worked out backwards from the present one. */
  Optional<Configuration> at(Configuration current, long revision) {
    if (revision > current.revision() || revision < oldest(current)) {
      return Optional.empty();
    }
    Configuration found = current;
    Iterator<RevisionEntry> newestFirst = entries.descendingIterator();
    while (found.revision() > revision) {
      found = newestFirst.next().step().inverse().applyTo(found);
    }
    return Optional.of(found);
  }

  /** Returns the entry that led to a revision. */
  Optional<RevisionEntry> entry(long revision) {
    return entries.stream().filter(entry -> entry.revision() == revision).findFirst();
  }
}
