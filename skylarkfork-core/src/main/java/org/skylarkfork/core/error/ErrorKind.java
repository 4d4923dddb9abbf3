package org.skylarkfork.core.error;

/** The kinds of refusals and failures that callers and operators receive. */
public enum ErrorKind {
  /** The request is malformed. */
  BAD_REQUEST(400, "invalid_request_error"),
  /** The request crashes the upstreams that run it and is no longer sent to any. */
  QUARANTINED(400, "invalid_request_error"),
  /** The key is missing or unknown. */
  UNAUTHORIZED(401, "authentication_error"),
  /** The team is not allowed to use what it requested. */
  NOT_ALLOWED(403, "permission_error"),
  /** The requested model, service or object does not exist. */
  NOT_FOUND(404, "not_found_error"),
  /** The body or a header exceeds its size limit. */
  TOO_LARGE(413, "invalid_request_error"),
  /** The expected revision is outdated, or the id or key was already used for something else. */
  CONFLICT(409, "conflict_error"),
  /** An earlier request with the same key is still running. */
  IN_PROGRESS(409, "in_progress_error"),
  /** A limit of the team or the maximum length of the queue is reached. */
  OVER_LIMIT(429, "rate_limit_error"),
  /** No permitted upstream can accept the request at present. */
  NO_CAPACITY(503, "overloaded_error"),
  /**
   * The entry may not serve, because its configuration lease has expired or it is shutting down.
   */
  NOT_SERVING(503, "unavailable_error"),
  /** The deadline has passed or can't be met. */
  DEADLINE(504, "timeout_error"),
  /** The upstream failed and the request can't be retried. */
  UPSTREAM_FAILED(502, "upstream_error"),
  /** The daemon itself has an internal error. */
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

  /** Returns the error type used in the protocol's error object. */
  public String type() {
    return type;
  }
}
