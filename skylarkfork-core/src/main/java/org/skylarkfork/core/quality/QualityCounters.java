package org.skylarkfork.core.quality;

import java.util.List;

/**
 * The counts of one process in one epoch; each count only increases, so the greater of two is
 * newer.
 *
 * @param entry node name of the process
 * @param incarnation incarnation of the process; a restarted process has a higher one and counts
 *     from 0
 * @param epoch number of the epoch
 * @param key key of the counts
 * @param counts the counts in the order of {@link Counters}
 */
public record QualityCounters(
    String entry, long incarnation, long epoch, EvidenceKey key, List<Long> counts) {

  /** Copies the counts. */
  public QualityCounters {
    counts = List.copyOf(counts);
  }
}
