package org.skylarkfork.core.relay;

import java.util.List;

/** The upstreams to choose from, with their known load. */
interface UpstreamSource {

  /** Returns the known upstreams of a service. */
  List<TrackedUpstream> upstreams(String service);

  /** Returns the share of all entries whose load this source receives. */
  double loadShare();
}
