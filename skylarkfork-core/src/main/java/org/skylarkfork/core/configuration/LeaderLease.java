package org.skylarkfork.core.configuration;

import java.time.Instant;

/** Reports whether this daemon holds the leader's lease of the configuration group. */
public interface LeaderLease {

  /**
   * Returns whether this daemon leads, no other leader can exist at this time, and every change
   * accepted by earlier leaders is applied on this daemon.
   */
  boolean holds(Instant now);
}
