package org.skylarkfork.runtime.transport;

/** Reports that a peer opened no connection; the result says why. */
public final class ForwardException extends Exception {

  private static final long serialVersionUID = 1L;

  private final ForwardResult result;

  /** Creates an exception without a stack trace, since it is raised for each failed attempt. */
  public ForwardException(ForwardResult result) {
    super("the peer opened no connection: " + result, null, false, false);
    this.result = result;
  }

  /** Returns why there is no connection. */
  public ForwardResult result() {
    return result;
  }
}
