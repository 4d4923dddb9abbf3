package org.skylarkfork.core;

/** Run-time checks of invariants. */
public final class Invariants {

  private Invariants() {}

  /**
   * Throws an error if an invariant doesn't hold.
   *
   * @param condition value of the invariant's condition
   * @param statement the invariant in words, for the error message
   * @throws InvariantViolation if the condition is false
   */
  public static void check(boolean condition, String statement) {
    if (!condition) {
      throw new InvariantViolation(statement);
    }
  }
}
