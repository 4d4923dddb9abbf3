package org.skylarkfork.core.rollout;

import java.util.List;

/**
 * What one process of an entry reports of roll-outs.
 *
 * @param entry the entry
 * @param incarnation incarnation number of the process
 * @param stateIndex log index of the replicated state that the process knows
 * @param counts what the process has counted
 * @param ages for how long the process has known the running roll-outs
 */
public record EntryCounts(
    String entry,
    long incarnation,
    long stateIndex,
    List<VersionCounts> counts,
    List<RollOutAge> ages) {

  /** Copies the lists. */
  public EntryCounts {
    counts = List.copyOf(counts);
    ages = List.copyOf(ages);
  }
}
