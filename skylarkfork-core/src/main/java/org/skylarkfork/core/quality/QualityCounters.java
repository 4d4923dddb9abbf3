package org.skylarkfork.core.quality;

import java.util.List;

/**
 * What one process counted in one epoch; each count only rises, so the greater of two is newer.
 *
 * @param entry node name of the process
 * @param incarnation number of the process; a restart has a higher one and counts anew
 * @param epoch number of the epoch
 * @param key what the counts are about
 * @param counts the counts in the order of {@link TransportCounters}
 */
public record QualityCounters(
    String entry, long incarnation, long epoch, EvidenceKey key, List<Long> counts) {

  /** Copies the counts. */
  public QualityCounters {
    counts = List.copyOf(counts);
  }
}
