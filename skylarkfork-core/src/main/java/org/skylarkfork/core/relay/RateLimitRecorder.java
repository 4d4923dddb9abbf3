package org.skylarkfork.core.relay;

import java.time.Instant;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.effect.TraceEffect;
import org.skylarkfork.core.event.RelayEvent;

/** Takes note of the rate limits that upstreams name in their answers to this entry. */
final class RateLimitRecorder {

  private static final int FIRST_NO_SUCCESS = 300;

  /**
   * Takes note of an answer.
   *
   * <p>A limit is lifted only by a success that names none: a failure may come from something that
   * stands before the upstream's own work.
   *
   * @param track the upstream that gave it
   * @param answer the answer
   * @param request id of the request that it answers
   * @param now the present time
   * @param output takes a line if the limit is another one than before
   */
  void recordAnswer(
      TrackedUpstream track,
      RelayEvent.AnswerBegan answer,
      String request,
      Instant now,
      Output output) {
    RateLimit limit = answer.rateLimit();
    RateLimit before = track.rateLimit();
    if (limit == null || !limit.isBounded() && !isLifted(before, answer)) {
      return;
    }
    track.rate().recordLimit(limit, now);
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

  private static boolean isLifted(RateLimit before, RelayEvent.AnswerBegan answer) {
    return before.isBounded() && answer.status() < FIRST_NO_SUCCESS;
  }
}
