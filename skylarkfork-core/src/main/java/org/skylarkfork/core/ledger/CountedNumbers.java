package org.skylarkfork.core.ledger;

import java.time.Instant;
import java.util.List;

/**
 * Sequence numbers of the bills of one run of an entry that are counted already.
 *
 * @param entry node name of the entry
 * @param incarnation incarnation number of the entry's process
 * @param upTo all numbers from 1 up to and including this one are counted
 * @param above further counted numbers, in ascending order
 * @param countedAt ledger time at which the last bill was counted
 */
public record CountedNumbers(
    String entry, long incarnation, long upTo, List<Long> above, Instant countedAt) {

  /** Copies the numbers. */
  public CountedNumbers {
    above = List.copyOf(above);
  }
}
