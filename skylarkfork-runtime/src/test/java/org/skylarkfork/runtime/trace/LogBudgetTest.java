package org.skylarkfork.runtime.trace;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests of {@link LogBudget}. */
public final class LogBudgetTest {

  private final LogBudget budget = new LogBudget();

  private int taken(String kind, long millis, int lines) {
    int taken = 0;
    for (int line = 0; line < lines; line++) {
      taken += budget.take(kind, millis) ? 1 : 0;
    }
    return taken;
  }

  /** A burst of successes leaves the lines of failures, and what is left out is counted. */
  @Test
  public void eachKindHasItsOwnLinesInEachSecond() {
    assertEquals(taken("request", 1_000, 500), 100);
    assertEquals(taken("request warning", 1_999, 30), 30);
    assertEquals(budget.leftOut(), 400);
    assertEquals(budget.leftOut(), 0);
    assertTrue(budget.take("request", 2_000));
  }
}
