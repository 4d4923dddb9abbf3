package org.skylarkfork.runtime.relay;

/** A command has no result in time; it may take effect later, so it may only be sent again. */
public final class CommandUnconfirmedException extends Exception {

  private static final long serialVersionUID = 1L;

  /**
   * Makes the exception.
   *
   * @param remedy what the caller can do
   */
  public CommandUnconfirmedException(String remedy) {
    super(remedy);
  }
}
