package org.skylarkfork.runtime.relay;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.time.Instant;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.relay.AttemptTarget;
import org.skylarkfork.core.relay.RateLimit;
import org.skylarkfork.core.relay.RelayRequest;
import org.skylarkfork.core.relay.UpstreamNotice;
import org.skylarkfork.runtime.http.HttpNames;

/** Mapping of the relay's own headers. */
public final class RelayHeaders implements RelayDialect {

  private static final String LAST_EVENT = "Last-Event-Id";

  @Override
  public RelayRequest read(long number, HttpRequest head, long contentHash)
      throws MalformedHeaderException {
    HttpHeaders headers = head.headers();
    int[] tokens = HeaderValues.tokenCounts(HttpNames.TOKENS, headers.get(HttpNames.TOKENS));
    return new RelayRequest(
        number,
        headers.get(HttpNames.REQUEST_ID, ""),
        headers.get(HttpHeaderNames.HOST, ""),
        head.uri(),
        HeaderValues.millis(HttpNames.DEADLINE_MILLIS, headers.get(HttpNames.DEADLINE_MILLIS)),
        HeaderValues.bearerKey(headers.get(HttpHeaderNames.AUTHORIZATION)),
        headers.get(HttpNames.MODEL),
        tokens[0],
        tokens[1],
        HeaderValues.promptParts(HttpNames.PROMPT_PARTS, headers.get(HttpNames.PROMPT_PARTS)),
        headers.get(HttpNames.SESSION),
        headers.get(LAST_EVENT),
        contentHash);
  }

  @Override
  public void rewriteForUpstream(HttpHeaders headers, AttemptTarget target, long leftMillis) {
    headers.remove(HttpHeaderNames.AUTHORIZATION);
    headers.remove(HttpNames.TEAM);
    headers.set(HttpNames.DEADLINE_MILLIS, leftMillis);
    headers.set(HttpNames.UPSTREAM, target.upstream().id());
    setIfKnown(headers, HttpNames.TEAM, target.team());
    setIfKnown(headers, HttpNames.MODEL, target.model());
    setIfKnown(headers, LAST_EVENT, target.lastEventId());
    Integer urgency = target.urgency();
    headers.remove(HttpNames.ENGINE_PRIORITY);
    if (urgency != null) {
      headers.set(HttpNames.ENGINE_PRIORITY, urgency);
    }
  }

  private static void setIfKnown(HttpHeaders headers, String name, @Nullable String value) {
    if (value != null) {
      headers.set(name, value);
    }
  }

  @Override
  public @Nullable String requestIdOf(HttpResponse answer) {
    return answer.headers().get(HttpNames.REQUEST_ID);
  }

  @Override
  public boolean reportsNotRun(HttpResponse answer) {
    return answer.headers().contains(HttpNames.NOT_STARTED);
  }

  /** The relay's own upstreams sign no answers; the repeated request id serves as the signature. */
  @Override
  public boolean isSigned(HttpResponse answer) {
    return answer.headers().contains(HttpNames.REQUEST_ID);
  }

  @Override
  public @Nullable Integer confidenceOf(HttpResponse answer) {
    return HeaderValues.percent(answer.headers().get(HttpNames.CONFIDENCE));
  }

  @Override
  public @Nullable RateLimit rateLimitOf(HttpResponse answer) {
    return HeaderValues.rateLimit(answer.headers().getAll(HttpNames.RATE_LIMIT));
  }

  @Override
  public UpstreamNotice noticeOf(HttpResponse answer, Instant now) {
    HttpHeaders headers = answer.headers();
    return new UpstreamNotice(
        HeaderValues.retryAfterMillis(
            headers.getAll(HttpHeaderNames.RETRY_AFTER), headers.get(HttpHeaderNames.DATE), now),
        HeaderValues.flag(headers.getAll(HttpNames.LEAVING)),
        HeaderValues.rejectionLimit(headers.getAll(HttpNames.REJECTION_LIMIT)));
  }

  @Override
  public String requestIdHeader() {
    return HttpNames.REQUEST_ID;
  }
}
