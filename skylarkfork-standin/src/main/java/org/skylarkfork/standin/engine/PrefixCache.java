package org.skylarkfork.standin.engine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.skylarkfork.standin.announce.CacheEvent;

/** A bounded cache of prompt prefixes that evicts the least recently used one. */
final class PrefixCache {

  private static final int MAX_UNREPORTED = 500;

  private final int capacity;
  private final Set<String> prefixes = new LinkedHashSet<>();
  private final Deque<CacheEvent> unreported = new ArrayDeque<>();
  private long sequence;

  PrefixCache(int capacity) {
    this.capacity = capacity;
  }

  /** Stores the prefixes of a prompt and returns how many of them, from the first, were there. */
  synchronized int use(List<String> prompt) {
    int hits = 0;
    while (hits < prompt.size() && prefixes.contains(prompt.get(hits))) {
      hits++;
    }
    prompt.forEach(this::store);
    return hits;
  }

  synchronized void store(String prefix) {
    boolean present = prefixes.remove(prefix);
    prefixes.add(prefix);
    if (!present) {
      report(CacheEvent.Kind.STORED, prefix);
      evictExcess();
    }
  }

  synchronized List<String> contents() {
    return List.copyOf(prefixes);
  }

  synchronized double used() {
    return prefixes.size() / (double) capacity;
  }

  /** Returns the events since the last call; the oldest are lost if there are too many. */
  synchronized List<CacheEvent> drainEvents() {
    List<CacheEvent> events = new ArrayList<>(unreported);
    unreported.clear();
    return events;
  }

  private void evictExcess() {
    while (prefixes.size() > capacity) {
      String oldest = prefixes.iterator().next();
      prefixes.remove(oldest);
      report(CacheEvent.Kind.EVICTED, oldest);
    }
  }

  private void report(CacheEvent.Kind kind, String prefix) {
    sequence++;
    unreported.addLast(new CacheEvent(sequence, kind, prefix));
    if (unreported.size() > MAX_UNREPORTED) {
      unreported.removeFirst();
    }
  }
}
