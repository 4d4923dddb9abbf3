package org.skylarkfork.core.relay;

import java.time.Duration;
import java.time.Instant;
import org.jspecify.annotations.Nullable;

/** Picks an upstream for an attempt, and learns from answers how long upstreams take. */
interface UpstreamPicker {

  /**
   * Picks an upstream.
   *
   * @param query what is to be placed
   * @param now the present time
   * @return the upstream and what is expected, or null if none can take it
   */
  @Nullable Placement pick(PlacementQuery query, Instant now);

  /**
   * Takes note of an attempt that goes where this picker has placed it.
   *
   * @param service service that it goes to
   * @param placement where it goes
   * @param now the present time
   */
  void recordSent(RelayService service, Placement placement, Instant now);

  /**
   * Returns when an upstream takes a request for which {@link #pick} found none.
   *
   * @param query what is to be placed
   * @param now the present time
   * @return the time until the first one takes it, or zero if it isn't a rate limit that all wait
   *     for
   */
  Duration timeUntilAccepted(PlacementQuery query, Instant now);

  /**
   * Takes note of an answer's first byte.
   *
   * @param service service that gave it
   * @param model model that gave it, or null if there is none
   * @param placement what had been expected
   * @param millis time from the sending to the first byte, in milliseconds
   * @param now the present time
   */
  void recordFirstByte(
      RelayService service,
      @Nullable String model,
      Placement placement,
      double millis,
      Instant now);
}
