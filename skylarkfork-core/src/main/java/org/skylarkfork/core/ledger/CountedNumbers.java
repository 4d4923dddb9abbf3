package org.skylarkfork.core.ledger;

import java.time.Instant;
import java.util.List;

/**
 * Which bills of one run of an entry count already.
 *
 * @param entry node name of the entry
 * @param incarnation number of the entry's process
 * @param upTo all numbers from 1 up to this one count
 * @param above further numbers that count, in rising order
 * @param countedAt when the last one was counted, by the ledger's time
 */
public record CountedNumbers(
    String entry, long incarnation, long upTo, List<Long> above, Instant countedAt) {

  /** Copies the numbers. */
  public CountedNumbers {
    above = List.copyOf(above);
  }
}
