package org.skylarkfork.runtime.relay;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.time.Instant;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.relay.AttemptTarget;
import org.skylarkfork.core.relay.RateLimit;
import org.skylarkfork.core.relay.RelayRequest;
import org.skylarkfork.core.relay.UpstreamNotice;

/** The relay's own headers, but requests with one of two can't be read, or can't be sent. */
final class ThrowingDialect implements RelayDialect {

  /** Name of the header of requests that can't be sent. */
  static final String UNSENDABLE = "X-Unsendable";

  /** Name of the header of requests that can't be read. */
  static final String UNREADABLE = "X-Unreadable";

  private final RelayDialect headers = new RelayHeaders();

  @Override
  public void rewriteForUpstream(HttpHeaders rewritten, AttemptTarget target, long leftMillis) {
    if (rewritten.contains(UNSENDABLE)) {
      throw new IllegalArgumentException("a header can't be encoded");
    }
    headers.rewriteForUpstream(rewritten, target, leftMillis);
  }

  @Override
  public RelayRequest read(long number, HttpRequest head, long contentHash)
      throws MalformedHeaderException {
    if (head.headers().contains(UNREADABLE)) {
      throw new IllegalStateException("a head can't be read");
    }
    return headers.read(number, head, contentHash);
  }

  @Override
  public @Nullable String requestIdOf(HttpResponse answer) {
    return headers.requestIdOf(answer);
  }

  @Override
  public boolean reportsNotRun(HttpResponse answer) {
    return headers.reportsNotRun(answer);
  }

  @Override
  public boolean isSigned(HttpResponse answer) {
    return headers.isSigned(answer);
  }

  @Override
  public @Nullable Integer confidenceOf(HttpResponse answer) {
    return headers.confidenceOf(answer);
  }

  @Override
  public @Nullable RateLimit rateLimitOf(HttpResponse answer) {
    return headers.rateLimitOf(answer);
  }

  @Override
  public UpstreamNotice noticeOf(HttpResponse answer, Instant now) {
    return headers.noticeOf(answer, now);
  }

  @Override
  public String requestIdHeader() {
    return headers.requestIdHeader();
  }
}
