package org.skylarkfork.core.relay;

import java.util.List;
import org.skylarkfork.core.overload.RejectionLimits;

/** The upstreams to choose from, with their known load. */
interface UpstreamSource {

  /** Returns the known upstreams of a service. */
  List<TrackedUpstream> upstreams(String service);

  /** Returns the limits of rejections that services state. */
  RejectionLimits rejectionLimits();

  /**
   * Returns the ordinal of this source's entry among all that choose from the upstreams on their
   * own.
   */
  EntryOrdinal entryOrdinal();

  /** Returns the share of all entries whose load this source receives. */
  double loadShare();
}
