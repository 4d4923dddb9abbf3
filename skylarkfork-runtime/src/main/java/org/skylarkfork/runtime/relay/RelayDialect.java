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

/**
 * Mapping between the headers of a deployment's callers and upstreams and the relay's own types.
 */
public interface RelayDialect {

  /**
   * Parses a request's head.
   *
   * @param number number that the entry gave the request
   * @param head the head
   * @param contentHash hash of the properties that the request shares with its retries
   * @throws MalformedHeaderException if a value is malformed
   */
  RelayRequest read(long number, HttpRequest head, long contentHash)
      throws MalformedHeaderException;

  /**
   * Rewrites a caller's headers for an attempt: removes those that only the system may set and
   * those that concern one connection, and adds those that the upstream needs.
   *
   * @param headers the caller's headers, changed in place
   * @param target upstream and parameters of the attempt
   * @param leftMillis time left for the answer, in milliseconds
   */
  void rewriteForUpstream(HttpHeaders headers, AttemptTarget target, long leftMillis);

  /** Returns the id of the request that an answer belongs to, or null if the answer has none. */
  @Nullable String requestIdOf(HttpResponse answer);

  /** Returns whether an answer reports that the request didn't run. */
  boolean reportsNotRun(HttpResponse answer);

  /**
   * Returns whether an answer's head carries the upstream's signature, which proves that the head
   * is complete.
   */
  boolean isSigned(HttpResponse answer);

  /**
   * Returns the model's confidence in its answer from 0 to 100, or null if the answer reports none.
   */
  @Nullable Integer confidenceOf(HttpResponse answer);

  /**
   * Returns the rate limit that the upstream reports in an answer, {@link RateLimit#NONE} if it
   * reports none, or null if the reported value is malformed.
   */
  @Nullable RateLimit rateLimitOf(HttpResponse answer);

  /**
   * Returns what an answer states about the requests that its upstream accepts, {@link
   * UpstreamNotice#NONE} if it states nothing that can be parsed.
   *
   * @param answer head of the answer
   * @param now the present time, from which a date is counted if the answer doesn't carry its own
   */
  UpstreamNotice noticeOf(HttpResponse answer, Instant now);

  /** Returns the name of the header that carries the request's id in requests and answers. */
  String requestIdHeader();
}
