package org.skylarkfork.daemon.proof;

import java.util.List;

/**
 * What the evidence says of one promise.
 *
 * @param promise the promise
 * @param checked how many cases were looked at
 * @param violations each case that breaks it
 */
public record PromiseResult(Promise promise, long checked, List<String> violations) {

  /** Copies the violations. */
  public PromiseResult {
    violations = List.copyOf(violations);
  }

  /** Returns whether nothing broke the promise. */
  public boolean kept() {
    return violations.isEmpty();
  }
}
