package org.skylarkfork.standin.measure.daemon;

import java.time.Instant;
import java.util.HashSet;
import java.util.Set;
import org.skylarkfork.core.ledger.Bill;
import org.skylarkfork.core.ledger.ClaimOutcome;
import org.skylarkfork.core.ledger.Ledger;
import org.skylarkfork.core.request.CallerRequest;

/** Passes all on to the daemon's ledger and remembers the keys that were billed. */
final class CountingLedger implements Ledger {

  private final Ledger ledger;
  private final Set<String> billed = new HashSet<>();

  CountingLedger(Ledger ledger) {
    this.ledger = ledger;
  }

  @Override
  public void claim(CallerRequest request, String team, String key, Instant now) {
    ledger.claim(request, team, key, now);
  }

  @Override
  public void recordOutcome(
      String requestId, String team, String key, ClaimOutcome outcome, Instant now) {
    ledger.recordOutcome(requestId, team, key, outcome, now);
  }

  @Override
  public void bill(Bill bill, Instant now) {
    billed.add(bill.key());
    ledger.bill(bill, now);
  }

  @Override
  public boolean acceptsWork() {
    return ledger.acceptsWork();
  }

  @Override
  public boolean isSettled() {
    return ledger.isSettled();
  }

  Set<String> billed() {
    return billed;
  }
}
