package org.skylarkfork.core.ledger;

import java.time.Instant;
import java.util.List;

/** Selects an entry's backups and reports which entries are gone. */
public interface LivePeers {

  /**
   * Returns the peers that store this entry's bills until they are committed.
   *
   * @return up to two live entries in other availability zones; the selection is stable while they
   *     live
   */
  List<String> backups(Instant now);

  /** Returns whether an entry is considered dead or has left. */
  boolean isGone(String node, Instant now);
}
