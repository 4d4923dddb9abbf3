package org.skylarkfork.core.relay;

import java.time.Duration;
import java.time.Instant;
import org.jspecify.annotations.Nullable;

/** Picks an upstream for an attempt and estimates from answers how long upstreams take. */
interface UpstreamPicker {

  /**
   * Picks an upstream.
   *
   * @param query the attempt to place
   * @param now the present time
   * @return the upstream and the times expected there, or null if none can accept the attempt
   */
  @Nullable Placement pick(PlacementQuery query, Instant now);

  /**
   * Returns the placement at one upstream of a service without engines.
   *
   * @param query the attempt to place
   * @param upstream the upstream
   * @param now the present time
   * @return the times expected there, or null if the upstream can't accept the attempt
   */
  @Nullable Placement placeAt(PlacementQuery query, TrackedUpstream upstream, Instant now);

  /**
   * Records an attempt that is sent to the upstream that this picker selected.
   *
   * @param service service that the attempt goes to
   * @param placement where the attempt goes
   * @param now the present time
   */
  void recordSent(RelayService service, Placement placement, Instant now);

  /**
   * Returns when an upstream accepts a request for which {@link #pick} found none.
   *
   * @param query the attempt to place
   * @param now the present time
   * @return the time until the first upstream accepts the attempt, or zero if they aren't all
   *     waiting for a rate limit or the end of a requested backoff
   */
  Duration timeUntilAccepted(PlacementQuery query, Instant now);

  /**
   * Records the time until an answer's first byte.
   *
   * @param service service that answered
   * @param model model that answered, or null if there is none
   * @param placement the expected times
   * @param millis time from the send to the first byte, in milliseconds
   * @param now the present time
   */
  void recordFirstByte(
      RelayService service,
      @Nullable String model,
      Placement placement,
      double millis,
      Instant now);
}
