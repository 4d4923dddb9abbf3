package org.skylarkfork.runtime.http;

import org.skylarkfork.core.error.RoutingError;

/** A request that was refused at the edge, before it reached the reducer. */
public final class BadRequestException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final transient RoutingError error;

  /**
   * Makes an exception.
   *
   * @param error what the caller is told
   */
  public BadRequestException(RoutingError error) {
    super(error.message(), null, false, false);
    this.error = error;
  }

  /** Returns what the caller is told. */
  public RoutingError error() {
    return error;
  }
}
