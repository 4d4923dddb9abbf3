package org.skylarkfork.core.message;

import java.util.List;
import org.skylarkfork.core.quality.QualityCounters;
import org.skylarkfork.core.quality.Verdict;

/** Evidence on versions that entries share. */
public sealed interface QualityMessage extends PeerMessage {

  /**
   * Tells of a sender's own counters and of all verdicts that it knows; safe to repeat.
   *
   * @param counters the sender's counters that changed since it last told this receiver
   * @param verdicts the verdicts
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
