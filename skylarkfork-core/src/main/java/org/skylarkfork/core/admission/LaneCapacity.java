package org.skylarkfork.core.admission;

import java.time.Instant;

/** The number of requests of a lane that this entry may run at the same time. */
public interface LaneCapacity {

  /**
   * Returns the capacity of a lane, at least 1.
   *
   * @param lane the lane
   * @param now the present time
   */
  int capacity(Lane lane, Instant now);
}
