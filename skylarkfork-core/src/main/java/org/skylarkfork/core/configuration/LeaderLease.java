package org.skylarkfork.core.configuration;

import java.time.Instant;

/** Says whether this daemon leads the configuration group. */
public interface LeaderLease {

  /**
   * Returns whether this daemon leads, no other leader can exist at this time, and every accepted
   * change of earlier leaders is applied here.
   */
  boolean holds(Instant now);
}
