package org.skylarkfork.core.ledger;

import java.util.List;

/**
 * What a team owes.
 *
 * @param team name of the team
 * @param lines its lines, sorted by month, model and version
 * @param requests how many requests were billed
 * @param costMicros total in millionths of the currency unit
 */
public record Statement(String team, List<StatementLine> lines, long requests, long costMicros) {

  /** Copies the lines. */
  public Statement {
    lines = List.copyOf(lines);
  }
}
