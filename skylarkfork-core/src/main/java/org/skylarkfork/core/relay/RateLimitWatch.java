package org.skylarkfork.core.relay;

import java.time.Instant;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.effect.TraceEffect;

/** Takes note of the rate limits that upstreams name in their answers to this entry. */
final class RateLimitWatch {

  /**
   * Takes note of an answer.
   *
   * @param track the upstream that gave it
   * @param limit the limit that it names, or null if it doesn't tell
   * @param request id of the request that it answers
   * @param now the present time
   * @param output takes a line if the limit is another one than before
   */
  void heard(
      UpstreamTrack track, @Nullable RateLimit limit, String request, Instant now, Output output) {
    if (limit == null) {
      return;
    }
    RateLimit before = track.rateLimit();
    track.namedRateLimit(limit, now);
    if (!limit.isNear(before)) {
      String facts =
          "event=rate_limit_heard id="
              + track.instance().id()
              + " per_second="
              + limit
              + " before="
              + before
              + " request="
              + request;
      output.effect(new TraceEffect.LogLine(limit.isBounded(), "relay", facts));
    }
  }
}
