package org.skylarkfork.core;

/** Thrown when an invariant doesn't hold: the program has a fault and its state may be corrupt. */
public final class InvariantViolation extends Error {

  private static final long serialVersionUID = 1L;

  /**
   * Creates the error.
   *
   * @param statement the invariant that doesn't hold
   */
  public InvariantViolation(String statement) {
    super(statement + "; stop this process and report its timeline");
  }
}
