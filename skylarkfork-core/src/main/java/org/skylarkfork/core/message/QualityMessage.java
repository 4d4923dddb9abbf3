package org.skylarkfork.core.message;

import java.util.List;
import org.skylarkfork.core.quality.QualityCounters;
import org.skylarkfork.core.quality.Verdict;

/** Messages by which entries share quality evidence on model versions. */
public sealed interface QualityMessage extends PeerMessage {

  /**
   * Reports the sender's own counters and all verdicts that it knows; idempotent.
   *
   * @param counters the sender's counters that have changed since its last report to this receiver
   * @param verdicts all verdicts that the sender knows, its own and received ones
   */
  record Evidence(List<QualityCounters> counters, List<Verdict> verdicts)
      implements QualityMessage {

    /** Copies the lists. */
    public Evidence {
      counters = List.copyOf(counters);
      verdicts = List.copyOf(verdicts);
    }
  }
}
