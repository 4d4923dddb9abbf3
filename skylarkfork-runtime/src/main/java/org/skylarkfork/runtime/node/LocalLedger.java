package org.skylarkfork.runtime.node;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.Part;
import org.skylarkfork.core.event.Event;
import org.skylarkfork.core.event.LedgerEvent;
import org.skylarkfork.core.event.LedgerEvent.ClaimState;
import org.skylarkfork.core.ledger.Bill;
import org.skylarkfork.core.ledger.ClaimOutcome;
import org.skylarkfork.core.ledger.Ledger;
import org.skylarkfork.core.request.CallerRequest;

/** A ledger of one process that forgets everything at its end. */
final class LocalLedger implements Part, Ledger {

  private final List<Event> answers = new ArrayList<>();
  private final Map<String, Claim> claims = new HashMap<>();

  @Override
  public void claim(CallerRequest request, String team, String key, Instant now) {
    Claim found = claims.get(team + '/' + key);
    if (found == null) {
      claims.put(team + '/' + key, new Claim(request.requestId(), null));
      answers.add(new LedgerEvent.ClaimAnswered(request.requestId(), ClaimState.GRANTED, null));
    } else if (found.outcome() == null) {
      answers.add(new LedgerEvent.ClaimAnswered(request.requestId(), ClaimState.IN_PROGRESS, null));
    } else {
      answers.add(
          new LedgerEvent.ClaimAnswered(request.requestId(), ClaimState.RECORDED, found.outcome()));
    }
  }

  @Override
  public void recordOutcome(
      String requestId, String team, String key, ClaimOutcome outcome, Instant now) {
    claims.put(team + '/' + key, new Claim(requestId, outcome));
    answers.add(new LedgerEvent.OutcomeRecorded(requestId, true));
  }

  @Override
  public void bill(Bill bill, Instant now) {
    answers.add(new LedgerEvent.Billed(bill.requestId(), true));
  }

  @Override
  public void apply(Event event, Instant now, Output output) {
    answers.forEach(output::raise);
    answers.clear();
  }

  private record Claim(String requestId, @Nullable ClaimOutcome outcome) {}
}
