package org.skylarkfork.runtime.relay;

/** A request's head can't be read; the message says why and what to send instead. */
public final class MalformedHeaderException extends Exception {

  private static final long serialVersionUID = 1L;

  /**
   * Makes the exception.
   *
   * @param message what is wrong and what to send instead
   */
  public MalformedHeaderException(String message) {
    super(message);
  }
}
