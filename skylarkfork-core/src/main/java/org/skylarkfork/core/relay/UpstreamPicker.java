package org.skylarkfork.core.relay;

import java.time.Instant;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** Picks an upstream for an attempt. */
interface UpstreamPicker {

  /**
   * Picks an upstream.
   *
   * @param service service that the request goes to
   * @param request the request
   * @param allowed versions that may get it
   * @param excluded ids of upstreams that had it already
   * @param now the present time
   * @return the upstream, or null if none can take it
   */
  @Nullable UpstreamTrack pick(
      RelayService service,
      RelayRequest request,
      VersionRule.Allowed allowed,
      Set<String> excluded,
      Instant now);

  /**
   * Estimates what a request costs an upstream.
   *
   * @param service service that the request goes to
   * @param request the request
   * @return milliseconds of the upstream's time
   */
  double workMillis(RelayService service, RelayRequest request);
}
