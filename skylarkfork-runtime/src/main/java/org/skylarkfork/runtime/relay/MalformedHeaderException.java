package org.skylarkfork.runtime.relay;

/**
 * Thrown if a header of a request is malformed; the message names the fault and the expected value.
 */
public final class MalformedHeaderException extends Exception {

  private static final long serialVersionUID = 1L;

  /**
   * Creates the exception.
   *
   * @param message the fault and the expected value
   */
  public MalformedHeaderException(String message) {
    super(message);
  }
}
