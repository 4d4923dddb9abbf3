package org.skylarkfork.core.ledger;

import java.util.List;
import java.util.TreeSet;

/** A set of numbers from 1 that costs little while it has few gaps. */
final class NumberSet {

  private final TreeSet<Long> above = new TreeSet<>();
  private long upTo;

  /** Makes a set of all numbers up to one and some above it. */
  NumberSet(long upTo, List<Long> above) {
    this.upTo = upTo;
    this.above.addAll(above);
  }

  /** Adds a number and returns whether it was not there before. */
  boolean add(long number) {
    if (number <= upTo || !above.add(number)) {
      return false;
    }
    closeGap();
    return true;
  }

  /** Adds all numbers up to one. */
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

  /** Returns the last number before the first gap. */
  long upTo() {
    return upTo;
  }

  /** Returns the numbers behind the first gap in rising order. */
  List<Long> above() {
    return List.copyOf(above);
  }
}
