package org.skylarkfork.core;

/** Checks, inside the running program, of what must never be false. */
public final class Invariants {

  private Invariants() {}

  /**
   * Throws if a condition that must always hold doesn't.
   *
   * @param condition what must hold
   * @param statement the invariant in words, for the report
   * @throws InvariantViolation if the condition is false
   */
  public static void check(boolean condition, String statement) {
    if (!condition) {
      throw new InvariantViolation(statement);
    }
  }
}
