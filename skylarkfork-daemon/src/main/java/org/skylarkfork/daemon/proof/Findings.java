package org.skylarkfork.daemon.proof;

import java.util.ArrayList;
import java.util.List;

/** Collects the cases and the violations of one promise. */
final class Findings {

  private final Promise promise;
  private final List<String> violations = new ArrayList<>();
  private long checked;

  Findings(Promise promise) {
    this.promise = promise;
  }

  /** Counts a case, and notes the violation if it does not hold. */
  void check(boolean holds, String violation) {
    checked++;
    if (!holds) {
      violations.add(violation);
    }
  }

  /** Counts cases that were checked as a whole. */
  void add(long cases) {
    checked += cases;
  }

  PromiseResult result() {
    return new PromiseResult(promise, checked, violations);
  }
}
