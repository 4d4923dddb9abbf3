package org.skylarkfork.core.ledger;

import java.util.List;

/**
 * Sum of a team's bills.
 *
 * @param team name of the team
 * @param lines lines of the statement, sorted by month, model and version
 * @param requests number of billed requests
 * @param costMicros total cost in millionths of the currency unit
 */
public record Statement(String team, List<StatementLine> lines, long requests, long costMicros) {

  /** Copies the lines. */
  public Statement {
    lines = List.copyOf(lines);
  }
}
