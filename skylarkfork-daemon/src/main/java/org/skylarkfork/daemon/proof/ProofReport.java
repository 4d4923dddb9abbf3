package org.skylarkfork.daemon.proof;

import java.io.PrintStream;
import java.util.List;

/** Prints what the checker found. */
public final class ProofReport {

  private static final int MOST_SHOWN = 10;

  private ProofReport() {}

  /**
   * Prints the table, the violations and how many promises were kept.
   *
   * @return whether all were kept
   */
  public static boolean print(List<PromiseResult> results, PrintStream out) {
    for (PromiseResult result : results) {
      out.printf(
          "%-68s %8d checked %6d violations%n",
          result.promise().sentence(), result.checked(), result.violations().size());
      result.violations().stream().limit(MOST_SHOWN).forEach(one -> out.println("    " + one));
    }
    long failed = results.stream().filter(result -> !result.kept()).count();
    out.println(results.size() - failed + " passed, " + failed + " failed");
    return failed == 0;
  }
}
