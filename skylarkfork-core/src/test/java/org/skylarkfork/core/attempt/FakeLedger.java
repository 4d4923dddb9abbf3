package org.skylarkfork.core.attempt;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.skylarkfork.core.event.LedgerEvent;
import org.skylarkfork.core.event.LedgerEvent.ClaimState;
import org.skylarkfork.core.ledger.Bill;
import org.skylarkfork.core.ledger.ClaimOutcome;
import org.skylarkfork.core.ledger.Ledger;
import org.skylarkfork.core.request.CallerRequest;

/** An in-memory ledger whose events are queued until the test delivers them. */
final class FakeLedger implements Ledger {

  final Deque<LedgerEvent> pendingEvents = new ArrayDeque<>();
  final Map<String, String> owners = new HashMap<>();
  final Map<String, ClaimOutcome> outcomes = new HashMap<>();
  final Map<String, Bill> bills = new HashMap<>();
  final List<Bill> submittedBills = new ArrayList<>();
  boolean reachable = true;

  @Override
  public void claim(CallerRequest request, String team, String key, Instant now) {
    pendingEvents.add(decide(request.requestId(), team + "/" + key));
  }

  private LedgerEvent.ClaimAnswered decide(String id, String key) {
    if (!reachable) {
      return new LedgerEvent.ClaimAnswered(id, ClaimState.UNAVAILABLE, null);
    }
    ClaimOutcome outcome = outcomes.get(key);
    if (outcome instanceof ClaimOutcome.NotRun) {
      outcomes.remove(key);
      owners.remove(key);
      outcome = null;
    }
    if (outcome != null) {
      return new LedgerEvent.ClaimAnswered(id, ClaimState.RECORDED, outcome);
    }
    boolean free = owners.putIfAbsent(key, id) == null;
    ClaimState state = free ? ClaimState.GRANTED : ClaimState.IN_PROGRESS;
    return new LedgerEvent.ClaimAnswered(id, state, null);
  }

  @Override
  public void recordOutcome(
      String requestId, String team, String key, ClaimOutcome outcome, Instant now) {
    if (reachable && requestId.equals(owners.get(team + "/" + key))) {
      outcomes.put(team + "/" + key, outcome);
    }
    pendingEvents.add(new LedgerEvent.OutcomeRecorded(requestId, reachable));
  }

  @Override
  public void bill(Bill bill, Instant now) {
    submittedBills.add(bill);
    if (reachable) {
      bills.putIfAbsent(bill.team() + "/" + bill.key(), bill);
    }
    pendingEvents.add(new LedgerEvent.Billed(bill.requestId(), reachable));
  }
}
