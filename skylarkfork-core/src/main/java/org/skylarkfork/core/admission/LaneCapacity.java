package org.skylarkfork.core.admission;

import java.time.Instant;

/** How many requests of a lane this entry runs at the same time. */
public interface LaneCapacity {

  /**
   * Returns the capacity of a lane, at least 1.
   *
   * @param lane the lane
   * @param now the present time
   */
  int capacity(Lane lane, Instant now);
}
