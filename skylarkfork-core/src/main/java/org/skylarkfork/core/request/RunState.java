package org.skylarkfork.core.request;

/** What is known of whether a refused or failed request ran on an upstream. */
public enum RunState {
  /** No upstream can have started it. */
  NOT_RUN,
  /** An upstream ran it. */
  RAN,
  /** An upstream may have run it; it must not be sent again unless it is idempotent. */
  UNKNOWN;

  /** Returns the form used in headers, such as {@code not-run}. */
  public String headerValue() {
    return switch (this) {
      case NOT_RUN -> "not-run";
      case RAN -> "ran";
      case UNKNOWN -> "unknown";
    };
  }
}
