package org.skylarkfork.standin.http;

/** The names of the headers between entries and upstreams. */
public final class Headers {

  /** Identifies a request; every answer echoes it. */
  public static final String REQUEST_ID = "X-Request-Id";

  /** Orders the queue of an engine, from 0 (first) to 9. */
  public static final String PRIORITY = "X-Priority";

  /** The number of tokens that the caller already has. */
  public static final String RESUME_OFFSET = "X-Resume-Offset";

  /** Is {@code true} on a refusal for which nothing was started. */
  public static final String NOT_STARTED = "X-Not-Started";

  /** Requests a second that the upstream takes from all entries together. */
  public static final String RATE_LIMIT = "X-Rate-Limit";

  /** Names a non-idempotent request over all its resends. */
  public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

  private Headers() {}
}
