package org.skylarkfork.core.attempt;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import org.skylarkfork.core.admission.OpenAdmission;
import org.skylarkfork.core.effect.CallerEffect;
import org.skylarkfork.core.effect.LifecycleEffect;
import org.skylarkfork.core.effect.UpstreamEffect;
import org.skylarkfork.core.error.ErrorKind;
import org.skylarkfork.core.event.CallerEvent;
import org.skylarkfork.core.event.LedgerEvent;
import org.skylarkfork.core.event.LifecycleEvent;
import org.skylarkfork.core.event.UpstreamEvent;
import org.skylarkfork.core.event.UpstreamEvent.Moment;
import org.skylarkfork.core.ledger.ClaimOutcome;
import org.skylarkfork.core.ledger.LedgerMachine;
import org.skylarkfork.core.request.AnswerFacts;
import org.skylarkfork.core.request.Bytes;
import org.skylarkfork.core.request.RunState;
import org.testng.annotations.Test;

/** Calls to plain services: at most once for what may not be repeated, in time for the rest. */
public class CallTest {

  private static final Set<Moment> NOT_STARTED =
      EnumSet.of(Moment.BEFORE_CONNECT, Moment.CONNECTED, Moment.REFUSED_NOT_STARTED);

  @Test
  public void tellsRunStateByMoment() {
    for (Moment moment : Moment.values()) {
      RunState expected = NOT_STARTED.contains(moment) ? RunState.NOT_RUN : RunState.UNKNOWN;
      assertEquals(RunStates.after(moment), expected, moment.name());
    }
  }

  @Test
  public void sendsNonIdempotentCallAgainOnlyIfItCannotHaveStarted() {
    // A certificate is issued and the attempt fails. Where a byte may have reached the service, a
    // second attempt could issue it twice: the caller hears "unknown" and the record says so too.
    for (Moment moment : Moment.values()) {
      RequestFixture own = new RequestFixture();
      own.ask("r", RequestFixture.call("POST", "k"));
      assertTrue(own.attempts().isEmpty(), "nothing is sent before the claim");
      own.settle();
      own.fail("r.1", moment);
      own.settle();
      boolean again = NOT_STARTED.contains(moment);
      assertEquals(own.attempts().size(), again ? 2 : 1, moment.name());
      if (!again) {
        CallerEffect.Refuse refuse = own.last(CallerEffect.Refuse.class);
        assertEquals(refuse.error().runState(), RunState.UNKNOWN);
        assertNull(refuse.error().retryAfterMillis());
        assertTrue(own.ledger.outcomes.get("jury/k") instanceof ClaimOutcome.Unknown);
      }
    }
  }

  @Test
  public void recordsOutcomeAndBillBeforeTheAnswerAndRepeatsItToResends() {
    // The caller loses its answer and sends the call again with the same key. It gets the recorded
    // answer: the service ran once, the bill is one.
    RequestFixture own = new RequestFixture();
    own.ask("r", RequestFixture.call("POST", "k"));
    own.settle();
    own.answer("r.1", 201, "certificate 7");
    assertEquals(own.ends("r"), 0);
    own.settle();
    assertEquals(own.ends("r"), 1);
    own.ask("q", RequestFixture.call("POST", "k"));
    own.settle();
    CallerEffect.SendServiceAnswer again = own.last(CallerEffect.SendServiceAnswer.class);
    assertEquals(again.requestId(), "q");
    assertEquals(again.body().text(), "certificate 7");
    assertEquals(own.attempts().size(), 1);
    assertEquals(own.ledger.bills.size(), 1);
    assertEquals(own.ledger.bills.get("jury/k").costMicros(), 50);
  }

  @Test
  public void recordedAnswerWithoutItsBodyIsNotGivenAsWhole() {
    // The caller resends a call whose answer was over the bound for recorded bodies. It is told
    // that
    // the call ran, not given an empty answer with status 201.
    RequestFixture own = new RequestFixture();
    AnswerFacts facts = new AnswerFacts("o", null, null, "s", 1, 50, null, null);
    own.ledger.owners.put("jury/k", "request of another entry");
    own.ledger.outcomes.put(
        "jury/k",
        new ClaimOutcome.Answered(201, List.of(LedgerMachine.BODY_DROPPED), Bytes.EMPTY, facts));
    own.ask("r", RequestFixture.call("POST", "k"));
    own.settle();
    assertEquals(own.last(CallerEffect.Refuse.class).error().runState(), RunState.RAN);
    assertEquals(own.ends("r"), 1);
  }

  @Test
  public void resendsNeverRunWhileTheFirstIsOpenOrUnknown() {
    // The first entry's call is running, or was lost with its entry. A resend through this entry
    // finds the claim and is told so; it is not sent.
    RequestFixture own = new RequestFixture();
    own.ledger.owners.put("jury/k", "request of another entry");
    own.ask("r", RequestFixture.call("POST", "k"));
    own.settle();
    assertEquals(own.last(CallerEffect.Refuse.class).error().kind(), ErrorKind.IN_PROGRESS);
    own.ledger.outcomes.put("jury/k", new ClaimOutcome.Unknown("entry lost"));
    own.ask("q", RequestFixture.call("POST", "k"));
    own.settle();
    assertEquals(own.last(CallerEffect.Refuse.class).error().runState(), RunState.UNKNOWN);
    own.ledger.reachable = false;
    own.ask("p", RequestFixture.call("POST", "other"));
    own.settle();
    assertEquals(own.last(CallerEffect.Refuse.class).error().runState(), RunState.NOT_RUN);
    assertTrue(own.attempts().isEmpty());
  }

  @Test
  public void followsClaimedCallWhoseCallerIsGone() {
    // The caller leaves, or its deadline passes, while the service issues the certificate. The
    // attempt is not cut off: its outcome is recorded, so that a resend gets the answer.
    for (boolean leaves : new boolean[] {true, false}) {
      RequestFixture own = new RequestFixture();
      RequestFixture.Ask ask = RequestFixture.call("POST", "k");
      ask.deadline = Duration.ofMillis(500);
      own.ask("r", ask);
      own.settle();
      if (leaves) {
        own.apply(new CallerEvent.CallerLeft("r"));
      } else {
        own.pass(Duration.ofMillis(600));
        assertEquals(own.last(CallerEffect.Refuse.class).error().runState(), RunState.UNKNOWN);
      }
      assertTrue(own.list(UpstreamEffect.CancelAttempt.class).isEmpty());
      own.answer("r.1", 201, "certificate 7");
      own.settle();
      assertTrue(own.ledger.outcomes.get("jury/k") instanceof ClaimOutcome.Answered);
      assertEquals(own.ledger.bills.size(), 1);
      assertEquals(own.ends("r"), leaves ? 0 : 1);
      assertEquals(own.part.activeRequests(), 0);
    }
  }

  @Test
  public void freesClaimThatIsGrantedAfterTheEnd() {
    RequestFixture own = new RequestFixture();
    own.ask("r", RequestFixture.call("POST", "k"));
    own.apply(new CallerEvent.CallerLeft("r"));
    own.settle();
    assertTrue(own.attempts().isEmpty());
    own.ask("q", RequestFixture.call("POST", "k"));
    own.settle();
    assertEquals(own.attempts(), List.of("q.1"));
  }

  @Test
  public void neverSendsSilentNonIdempotentCallAgain() {
    RequestFixture own = new RequestFixture();
    own.ask("r", RequestFixture.call("POST", null));
    own.settle();
    own.pass(Duration.ofSeconds(3));
    own.settle();
    assertEquals(own.last(CallerEffect.Refuse.class).error().runState(), RunState.UNKNOWN);
    own.answer("r.1", 201, "too late");
    own.settle();
    assertEquals(own.ends("r"), 1);
    assertEquals(own.counted("answers_late"), 1.0);
  }

  @Test
  public void refusesLookupWhoseBillCannotBeKept() {
    // The caller is told at once that its lookup ran and may be sent again. The entry is cut off:
    // neither a backup nor the group takes the bill. An answer sent all the same would never be
    // billed if the entry crashed before the cut ended.
    RequestFixture own = new RequestFixture();
    own.ledger.reachable = false;
    own.ask("r", RequestFixture.call("GET", null));
    own.fail("r.1", Moment.WRITTEN);
    own.answer("r.2", 200, "12:03");
    own.settle();
    assertEquals(own.last(CallerEffect.Refuse.class).error().runState(), RunState.RAN);
    assertEquals(own.ends("r"), 1);
    assertTrue(own.ledger.handedIn.get(0).lookup());
  }

  @Test
  public void hedgesSlowLookupsWithinBudget() {
    // Most lookups take 10 ms, then one server hangs. Its lookups get a second attempt after the
    // measured percentile; the first answer wins and the other attempt is cancelled. The budget
    // keeps a service that is slow as a whole from being asked twice for everything.
    RequestFixture own = new RequestFixture();
    for (int request = 0; request < 60; request++) {
      own.ask("w" + request, RequestFixture.call("GET", null));
      own.pass(Duration.ofMillis(10));
      own.answer("w" + request + ".1", 200, "");
      own.settle();
    }
    own.ask("r", RequestFixture.call("GET", null));
    own.pass(Duration.ofMillis(12));
    assertEquals(own.last(UpstreamEffect.DispatchCall.class).attemptId(), "r.2");
    own.answer("r.2", 200, "12:03");
    own.settle();
    assertEquals(own.last(UpstreamEffect.CancelAttempt.class).attemptId(), "r.1");
    assertEquals(own.ends("r"), 1);
    for (int request = 0; request < 30; request++) {
      own.ask("slow" + request, RequestFixture.call("GET", null));
    }
    own.pass(Duration.ofMillis(12));
    assertTrue(own.counted("hedges") <= 7, "hedges " + own.counted("hedges"));
    assertEquals(own.inFlight.get("s1"), 30);
  }

  @Test
  public void waitsForFreeUpstreamAndRefusesAtOnceWhenGivenUp() {
    // All servers are full. The call waits a few pauses, then the caller hears "not-run" with the
    // time to come back, long before its deadline.
    RequestFixture own = new RequestFixture();
    own.ask("r", RequestFixture.call("GET", null));
    for (int round = 0; round < 40 && own.ends("r") == 0; round++) {
      List<String> ids = own.attempts();
      own.fail(ids.get(ids.size() - 1), Moment.REFUSED_NOT_STARTED);
      own.pass(Duration.ofMillis(100));
    }
    CallerEffect.Refuse refuse = own.last(CallerEffect.Refuse.class);
    assertEquals(refuse.error().runState(), RunState.NOT_RUN);
    assertTrue(refuse.error().retryAfterMillis() > 0);
    assertEquals(own.ends("r"), 1);
    assertEquals(own.unhealthy.keySet(), Set.of("s1", "s2", "s3"));
  }

  @Test
  public void refusedUnstartedWithoutBudgetWaitsInsteadOfFailing() {
    // Some servers refuse everything and the retry budget is used up. The call was not started, so
    // it waits a pause and goes to a server that has room; its caller sees only the answer.
    RequestFixture own =
        new RequestFixture(RequestFixture.settings(0, 0, 0), new OpenAdmission(), 1);
    own.ask("r", RequestFixture.call("GET", null));
    own.fail("r.1", Moment.REFUSED_NOT_STARTED);
    assertEquals(own.attempts(), List.of("r.1"));
    own.pass(Duration.ofMillis(60));
    own.answer("r.2", 200, "12:03");
    own.settle();
    assertEquals(own.list(CallerEffect.SendServiceAnswer.class).size(), 1);
  }

  @Test
  public void crossedAnswerOfNonIdempotentCallIsUnknown() {
    RequestFixture own = new RequestFixture();
    own.ask("r", RequestFixture.call("POST", "k"));
    own.settle();
    own.apply(new UpstreamEvent.ServiceAnswered("r.1", "other", 200, List.of(), Bytes.EMPTY));
    own.settle();
    assertEquals(own.last(CallerEffect.Refuse.class).error().runState(), RunState.UNKNOWN);
    assertEquals(own.attempts().size(), 1);
  }

  @Test
  public void stopsOnlyAfterTheListExpiredAndTheLastAnswerIsDelivered() {
    // A planned stop cuts off no request: callers that hold an older entry list are still served,
    // running work ends, and only then does the process.
    RequestFixture own = new RequestFixture();
    own.apply(new LifecycleEvent.StopRequested());
    own.ask("r", RequestFixture.call("GET", null));
    own.listed = false;
    own.ask("q", RequestFixture.call("GET", null));
    assertEquals(own.last(CallerEffect.Refuse.class).error().kind(), ErrorKind.NOT_SERVING);
    own.apply(new CallerEvent.AnswerDelivered("q"));
    own.answer("r.1", 200, "12:03");
    own.settle();
    own.pass(Duration.ofSeconds(1));
    assertTrue(own.list(LifecycleEffect.EndProcess.class).isEmpty());
    own.apply(new CallerEvent.AnswerDelivered("r"));
    own.pass(Duration.ofSeconds(1));
    assertEquals(own.list(LifecycleEffect.EndProcess.class).size(), 1);
  }

  @Test
  public void refusesBeyondItsBound() {
    RequestFixture own = new RequestFixture(RequestFixture.SETTINGS, new OpenAdmission(), 1);
    for (int request = 0; request <= 100; request++) {
      own.ask("r" + request, RequestFixture.call("GET", null));
    }
    assertEquals(own.last(CallerEffect.Refuse.class).error().kind(), ErrorKind.NO_CAPACITY);
    assertEquals(own.attempts().size(), 100);
    own.apply(new LedgerEvent.Billed("unknown", true));
  }
}
