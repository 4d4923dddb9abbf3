package org.skylarkfork.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.crash.RequestKey;

/** What an entry believes of configuration and upstreams. */
interface RelayView extends UpstreamSource {

  /** Returns the configuration in force here. */
  RouteTable table();

  /** Returns whether a configuration is known. */
  boolean configured();

  /** Returns whether the configuration is proven to be new enough for keyed requests. */
  boolean proven(Instant now);

  /** Returns the time since the newest such proof. */
  Duration proofAge(Instant now);

  /** Returns whether all upstreams that live are known. */
  boolean settled();

  /** Returns the newest roll-out of each service. */
  List<ServiceRollOut> rollOuts();

  /** Returns the version of a service that is used apart from roll-outs, or null if none is. */
  @Nullable String stableVersion(String service);

  /** Returns which one of all entries this one is. */
  EntryOrdinal place();

  /** Returns how many entries serve, at least 1. */
  int entries();

  /** Returns whether a request is refused because it ends the upstreams that run it. */
  boolean isQuarantined(RequestKey key);

  /** Returns the peer name of the control VM that leads, or null if none is known. */
  @Nullable String leader();

  /** Returns the entries that place prompts, by group of engines; empty if each places its own. */
  List<String> schedulers();
}
