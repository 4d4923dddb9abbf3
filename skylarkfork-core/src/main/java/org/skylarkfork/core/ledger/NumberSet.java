package org.skylarkfork.core.ledger;

import java.util.List;
import java.util.TreeSet;

/** A set of positive numbers that uses little memory while it has few gaps. */
final class NumberSet {

  private final TreeSet<Long> above = new TreeSet<>();
  private long upTo;

  /** Creates a set of all numbers up to {@code upTo} and the given numbers above it. */
  NumberSet(long upTo, List<Long> above) {
    this.upTo = upTo;
    this.above.addAll(above);
  }

  /** Adds a number and returns whether the set did not contain it. */
  boolean add(long number) {
    if (number <= upTo || !above.add(number)) {
      return false;
    }
    closeGap();
    return true;
  }

  /** Adds all numbers up to and including the given one. */
  void addAllUpTo(long number) {
    if (number > upTo) {
      upTo = number;
      above.headSet(number, true).clear();
      closeGap();
    }
  }

  private void closeGap() {
    while (above.remove(upTo + 1)) {
      upTo++;
    }
  }

  /** Returns the last number before the first gap, or 0 if the set does not contain 1. */
  long upTo() {
    return upTo;
  }

  /** Returns the numbers above the first gap in ascending order. */
  List<Long> above() {
    return List.copyOf(above);
  }
}
