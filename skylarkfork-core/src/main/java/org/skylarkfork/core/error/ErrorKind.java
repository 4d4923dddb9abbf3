package org.skylarkfork.core.error;

/** The kinds of refusal and failure that callers and operators meet. */
public enum ErrorKind {
  /** The request can't be understood. */
  BAD_REQUEST(400, "invalid_request_error"),
  /** The request ends the upstreams that run it, and is sent to none any more. */
  QUARANTINED(400, "invalid_request_error"),
  /** The key is missing or unknown. */
  UNAUTHORIZED(401, "authentication_error"),
  /** The team may not use what it asked for. */
  NOT_ALLOWED(403, "permission_error"),
  /** The model, service or object does not exist. */
  NOT_FOUND(404, "not_found_error"),
  /** The body or a header is over its bound. */
  TOO_LARGE(413, "invalid_request_error"),
  /** The revision or key was used for something else. */
  CONFLICT(409, "conflict_error"),
  /** An earlier request with the same key is still running. */
  IN_PROGRESS(409, "in_progress_error"),
  /** The team's limit or the queue's bound is reached. */
  OVER_LIMIT(429, "rate_limit_error"),
  /** No allowed upstream can take the request now. */
  NO_CAPACITY(503, "overloaded_error"),
  /** The entry may not serve, since its configuration lease ran out or it is stopping. */
  NOT_SERVING(503, "unavailable_error"),
  /** The deadline passed or can't be met. */
  DEADLINE(504, "timeout_error"),
  /** The upstream failed and the request can't be sent again. */
  UPSTREAM_FAILED(502, "upstream_error"),
  /** The daemon itself is at fault. */
  INTERNAL(500, "internal_error");

  private final int status;
  private final String type;

  ErrorKind(int status, String type) {
    this.status = status;
    this.type = type;
  }

  /** Returns the HTTP status. */
  public int status() {
    return status;
  }

  /** Returns the type used in the protocol's error object. */
  public String type() {
    return type;
  }
}
