package org.skylarkfork.runtime.relay;

/**
 * Thrown if a command has no result in time. The command may still take effect later, so a caller
 * may only retry the same command.
 */
public final class CommandUnconfirmedException extends Exception {

  private static final long serialVersionUID = 1L;

  /**
   * Creates the exception.
   *
   * @param remedy what the caller can do
   */
  public CommandUnconfirmedException(String remedy) {
    super(remedy);
  }
}
