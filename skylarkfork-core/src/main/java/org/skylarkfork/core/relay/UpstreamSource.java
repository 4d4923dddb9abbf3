package org.skylarkfork.core.relay;

import java.util.List;

/** The upstreams to choose from, with what is known of their load. */
interface UpstreamSource {

  /** Returns the known upstreams of a service. */
  List<TrackedUpstream> upstreams(String service);

  /** Returns the share of all entries of whose work this source hears. */
  double loadShare();
}
