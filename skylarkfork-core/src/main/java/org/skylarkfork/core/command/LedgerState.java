package org.skylarkfork.core.command;

import java.time.Instant;
import java.util.List;
import org.skylarkfork.core.ledger.BilledKey;
import org.skylarkfork.core.ledger.ClaimRecord;
import org.skylarkfork.core.ledger.CountedNumbers;
import org.skylarkfork.core.ledger.StatementLine;

/**
 * The whole state of a ledger group.
 *
 * @param stampedAt leader's time of the last applied command
 * @param time time by which claims and keys expire
 * @param claims claims in the order of their last change
 * @param keys billed keys of drafts and unsafe calls, oldest first
 * @param lookupKeys billed keys of lookups, oldest first
 * @param counted numbers of counted bills, by process of an entry
 * @param lines the statements of all teams
 */
public record LedgerState(
    Instant stampedAt,
    Instant time,
    List<ClaimRecord> claims,
    List<BilledKey> keys,
    List<BilledKey> lookupKeys,
    List<CountedNumbers> counted,
    List<StatementLine> lines)
    implements GroupState {

  /** Copies the lists. */
  public LedgerState {
    claims = List.copyOf(claims);
    keys = List.copyOf(keys);
    lookupKeys = List.copyOf(lookupKeys);
    counted = List.copyOf(counted);
    lines = List.copyOf(lines);
  }
}
