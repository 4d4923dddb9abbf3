package org.skylarkfork.core.relay;

import java.time.Instant;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.effect.TraceEffect;
import org.skylarkfork.core.event.RelayEvent;

/** Records the rate limits that upstreams report in their answers to this entry. */
final class RateLimitRecorder {

  private static final int MIN_UNSUCCESSFUL_STATUS = 300;

  /**
   * Records the rate limit of an answer.
   *
   * <p>A limit is lifted only by a successful answer without a limit: a failure may come from a
   * component in front of the upstream.
   *
   * @param upstream the upstream that answered
   * @param answer the answer
   * @param request id of the request that the answer belongs to
   * @param now the present time
   * @param output receives a log line if the limit has changed
   */
  void recordAnswer(
      TrackedUpstream upstream,
      RelayEvent.AnswerBegan answer,
      String request,
      Instant now,
      Output output) {
    RateLimit limit = answer.rateLimit();
    RateLimit previous = upstream.rateLimit();
    if (limit == null || !limit.isBounded() && !isLifted(previous, answer)) {
      return;
    }
    upstream.rate().recordLimit(limit, now);
    if (!limit.isNear(previous)) {
      String facts =
          "event=rate_limit_heard id="
              + upstream.instance().id()
              + " per_second="
              + limit
              + " before="
              + previous
              + " request="
              + request;
      output.effect(new TraceEffect.LogLine(limit.isBounded(), "relay", facts));
    }
  }

  private static boolean isLifted(RateLimit previous, RelayEvent.AnswerBegan answer) {
    return previous.isBounded() && answer.status() < MIN_UNSUCCESSFUL_STATUS;
  }
}
