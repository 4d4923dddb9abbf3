package org.skylarkfork.core;

/** An invariant was found false: the program has a fault and its state can't be trusted. */
public final class InvariantViolation extends Error {

  private static final long serialVersionUID = 1L;

  /**
   * Makes the error.
   *
   * @param statement the invariant that doesn't hold
   */
  public InvariantViolation(String statement) {
    super(statement + "; stop this process and report its time line");
  }
}
