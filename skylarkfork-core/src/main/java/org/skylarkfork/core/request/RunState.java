package org.skylarkfork.core.request;

/** What is known about whether a refused or failed request ran on an upstream. */
public enum RunState {
  /** No upstream can have started the request. */
  NOT_RUN,
  /** An upstream ran the request. */
  RAN,
  /** An upstream may have run the request, which must not be sent again unless it is idempotent. */
  UNKNOWN;

  /** Returns the value used in headers, such as {@code not-run}. */
  public String headerValue() {
    return switch (this) {
      case NOT_RUN -> "not-run";
      case RAN -> "ran";
      case UNKNOWN -> "unknown";
    };
  }
}
