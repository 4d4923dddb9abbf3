package org.skylarkfork.runtime.relay;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.relay.AttemptTarget;
import org.skylarkfork.core.relay.RateLimit;
import org.skylarkfork.core.relay.RelayRequest;

/** The names of headers that callers and upstreams of a deployment speak. */
public interface RelayDialect {

  /**
   * Reads a request's head.
   *
   * @param number number that the entry gave the request
   * @param head the head
   * @param contentHash hash of what the request has in common with the same one sent again
   * @throws MalformedHeaderException if a value can't be read
   */
  RelayRequest read(long number, HttpRequest head, long contentHash)
      throws MalformedHeaderException;

  /**
   * Makes a caller's headers those of an attempt: removes what only the system may set and what
   * concerns one connection, and adds what the upstream is to know.
   *
   * @param headers the caller's headers, changed in place
   * @param target where the attempt goes
   * @param leftMillis time left for the answer, in milliseconds
   */
  void rewriteForUpstream(HttpHeaders headers, AttemptTarget target, long leftMillis);

  /** Returns the id of the request that an answer belongs to, or null if it names none. */
  @Nullable String requestIdOf(HttpResponse answer);

  /** Returns whether an answer states that the request did not run. */
  boolean reportsNotRun(HttpResponse answer);

  /** Returns whether an answer's head is certainly whole and bears the upstream's signature. */
  boolean isSigned(HttpResponse answer);

  /** Returns the model's opinion of its answer from 0 to 100, or null if there is none. */
  @Nullable Integer confidenceOf(HttpResponse answer);

  /**
   * Returns the rate limit that the upstream names in an answer, {@link RateLimit#NONE} if it names
   * none, or null if what it names can't be read.
   */
  @Nullable RateLimit rateLimitOf(HttpResponse answer);

  /** Returns the name of the header in which requests and answers carry the request's id. */
  String requestIdHeader();
}
