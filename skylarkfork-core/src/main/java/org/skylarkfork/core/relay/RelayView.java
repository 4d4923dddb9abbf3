package org.skylarkfork.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.crash.RequestKey;
import org.skylarkfork.core.crash.RequestKeys;
import org.skylarkfork.core.reachability.UpstreamPaths;
import org.skylarkfork.core.rollout.ServiceRollOut;

/** An entry's view of the deployment: its configuration, upstreams and other entries. */
interface RelayView extends UpstreamSource {

  /** Returns the configuration that this entry applies. */
  RouteTable table();

  /** Returns whether a configuration is known. */
  boolean configured();

  /**
   * Returns whether the configuration was proven recently enough to be the newest, which requests
   * with a key require.
   */
  boolean proven(Instant now);

  /** Returns the time since the configuration was last proven to be the newest. */
  Duration proofAge(Instant now);

  /** Returns whether all live upstreams are known. */
  boolean settled();

  /** Returns the newest roll-out of each service. */
  List<ServiceRollOut> rollOuts();

  /**
   * Returns the version of a service that is in use apart from roll-outs, or null if none is known.
   */
  @Nullable String stableVersion(String service);

  /** Returns the number of serving entries, at least 1. */
  int entries();

  /**
   * Returns the key that is quarantined because requests with it crash their upstreams, or null if
   * a request has none.
   */
  @Nullable RequestKey quarantinedKey(RequestKeys keys);

  /** Returns the paths from this entry to the upstreams. */
  UpstreamPaths paths();

  /** Returns the peer name of the control VMs' leader, or null if none is known. */
  @Nullable String leader();

  /**
   * Returns the peer names of the scheduling entries, indexed by group of engines; empty if each
   * entry places its own requests.
   */
  List<String> schedulers();
}
