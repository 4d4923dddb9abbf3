package org.skylarkfork.core.attempt;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import org.skylarkfork.core.admission.OpenAdmission;
import org.skylarkfork.core.configuration.ModelVersion;
import org.skylarkfork.core.effect.CallerEffect;
import org.skylarkfork.core.effect.Effect;
import org.skylarkfork.core.effect.UpstreamEffect;
import org.skylarkfork.core.error.ErrorKind;
import org.skylarkfork.core.event.CallerEvent;
import org.skylarkfork.core.event.SessionEvent;
import org.skylarkfork.core.event.UpstreamEvent;
import org.skylarkfork.core.event.UpstreamEvent.Moment;
import org.skylarkfork.core.quality.AttemptOutcome;
import org.skylarkfork.core.request.RunState;
import org.skylarkfork.core.routing.Plan;
import org.skylarkfork.core.session.SessionPins;
import org.testng.annotations.Test;

/** Drafts on engines that fail in every way. */
public class DraftTest {

  private static RequestFixture cascade() {
    RequestFixture fixture = new RequestFixture();
    fixture.steps =
        List.of(
            new Plan.Step(RequestFixture.SMALL, true), new Plan.Step(RequestFixture.LARGE, false));
    return fixture;
  }

  @Test
  public void streamsTokensAndEndsOnlyAfterItsBill() {
    RequestFixture own = new RequestFixture();
    own.ask("r", RequestFixture.stream());
    own.tokens("r.1", 0, 2);
    own.finish("r.1", 2);
    assertEquals(own.ends("r"), 0, "no final frame before the bill");
    own.settle();
    assertEquals(own.ends("r"), 1);
    assertEquals(own.last(CallerEffect.EndStream.class).facts().costMicros(), 14);
    assertEquals(own.ledger.bills.get("jury/r").costMicros(), 14);
    assertEquals(own.inFlight.get("e1"), 0);
  }

  @Test
  public void refusesWithTheRemedyWhatMayNotRun() {
    // The caller sees a typed refusal that says not-run. The checks come before any attempt, so no
    // upstream work is spent on it.
    RequestFixture.Ask stranger = RequestFixture.chat();
    stranger.keyHash = "other";
    RequestFixture.Ask unknown = RequestFixture.chat();
    unknown.model = "none";
    RequestFixture.Ask forbidden = RequestFixture.chat();
    forbidden.model = "secret";
    RequestFixture own = new RequestFixture();
    assertEquals(refusal(own.ask("a", stranger)), ErrorKind.UNAUTHORIZED);
    assertEquals(refusal(own.ask("b", unknown)), ErrorKind.NOT_FOUND);
    assertEquals(refusal(own.ask("c", forbidden)), ErrorKind.NOT_ALLOWED);
    own.serving = false;
    assertEquals(refusal(own.ask("d", RequestFixture.chat())), ErrorKind.NOT_SERVING);
    own.serving = true;
    own.steps = List.of();
    own.configuration =
        RequestFixture.configuration(2, List.of(RequestFixture.SMALL, RequestFixture.LARGE));
    assertEquals(refusal(own.ask("e", RequestFixture.chat())), ErrorKind.NOT_ALLOWED);
    RequestFixture.Ask uncovered = RequestFixture.chat();
    uncovered.model = "large";
    assertEquals(refusal(own.ask("f", uncovered)), ErrorKind.NOT_ALLOWED);
    assertTrue(own.attempts().isEmpty());
  }

  private static ErrorKind refusal(List<Effect> effects) {
    CallerEffect.Refuse refuse = RequestFixture.only(effects, CallerEffect.Refuse.class).get(0);
    assertEquals(refuse.error().runState(), RunState.NOT_RUN);
    return refuse.error().kind();
  }

  @Test
  public void resumesCutStreamFromItsLastToken() {
    // The caller sees one gapless stream. The engine's connection is cut after three tokens; the
    // rest is asked of another engine of the same version, which repeats one token.
    RequestFixture own = new RequestFixture();
    own.ask("r", RequestFixture.stream());
    own.tokens("r.1", 0, 3);
    own.fail("r.1", Moment.ANSWER_BEGUN);
    UpstreamEffect.DispatchDraft resumed = own.last(UpstreamEffect.DispatchDraft.class);
    assertEquals(resumed.resumeOffset(), 3);
    assertEquals(resumed.upstream(), "e2");
    own.tokens("r.2", 2, 1);
    own.tokens("r.2", 3, 2);
    own.finish("r.2", 2);
    own.settle();
    assertEquals(streamed(own), RequestFixture.text(0, 5));
    assertEquals(own.ends("r"), 1);
    assertEquals(own.counted("tokens_duplicate"), 1.0);
  }

  private static String streamed(RequestFixture own) {
    StringBuilder text = new StringBuilder();
    own.list(CallerEffect.SendTokens.class).forEach(each -> text.append(each.text()));
    return text.toString();
  }

  @Test
  public void breaksStreamThatCannotBeResumed() {
    // The caller sees an explicit error in place of the final frame, never an end as if complete:
    // every engine cuts the stream until the attempts are used up.
    RequestFixture own = new RequestFixture();
    own.ask("r", RequestFixture.stream());
    own.tokens("r.1", 0, 1);
    for (int attempt = 1; attempt <= RequestFixture.SETTINGS.maxAttempts(); attempt++) {
      own.fail("r." + attempt, Moment.ANSWER_BEGUN);
      own.pass(Duration.ofSeconds(1));
    }
    assertEquals(own.list(CallerEffect.BreakStream.class).size(), 1);
    assertEquals(own.ends("r"), 1);
    assertTrue(own.ledger.bills.isEmpty());
    assertEquals(own.part.activeRequests(), 0);
  }

  @Test
  public void treatsGapAndLostEndAsCut() {
    // Without the check the caller would miss tokens in the middle or at the end of an answer that
    // looks whole. Both are found by the engine's own count, and the rest is asked for again.
    RequestFixture own = new RequestFixture();
    own.ask("r", RequestFixture.stream());
    own.tokens("r.1", 0, 1);
    own.tokens("r.1", 2, 1);
    assertEquals(own.list(UpstreamEffect.CancelAttempt.class).size(), 1);
    own.tokens("r.2", 1, 1);
    own.finish("r.2", 5);
    assertEquals(own.ends("r"), 0);
    own.tokens("r.3", 2, 1);
    own.finish("r.3", 1);
    own.settle();
    assertEquals(streamed(own), RequestFixture.text(0, 3));
  }

  @Test
  public void dropsLateAndCrossedAnswers() {
    // Another caller's tokens come on this request's connection, and later tokens of an attempt
    // that was given up. Neither reaches the caller; the connection is not believed again.
    RequestFixture own = new RequestFixture();
    own.ask("r", RequestFixture.stream());
    own.apply(new UpstreamEvent.TokensArrived("r.1", "other", 0, 1, "not yours"));
    assertEquals(own.counted("answers_crossed"), 1.0);
    own.tokens("r.1", 0, 1);
    assertEquals(own.counted("answers_late"), 1.0);
    own.tokens("r.2", 0, 1);
    own.finish("r.2", 1);
    own.settle();
    assertEquals(streamed(own), RequestFixture.text(0, 1));
  }

  @Test
  public void takesSilentEngineForFailed() {
    RequestFixture own = new RequestFixture();
    own.ask("r", RequestFixture.chat());
    own.pass(Duration.ofSeconds(21));
    assertEquals(own.last(UpstreamEffect.DispatchDraft.class).upstream(), "e2");
    assertEquals(own.list(UpstreamEffect.CancelAttempt.class).get(0).attemptId(), "r.1");
    for (int request = 0; request < 20; request++) {
      own.ask("w" + request, RequestFixture.chat());
      own.tokens("w" + request + ".1", 0, 1);
      own.finish("w" + request + ".1", 1);
    }
    own.ask("q", RequestFixture.chat());
    own.pass(Duration.ofSeconds(6));
    assertEquals(own.last(UpstreamEffect.DispatchDraft.class).attemptId(), "q.2");
  }

  @Test
  public void waitsForVersionWithoutEngine() {
    // The only engine of a version restarts. The request waits a few pauses for it; if none comes
    // back, the caller hears "not-run" long before its deadline.
    RequestFixture own = new RequestFixture();
    List<Plan.Step> steps = own.steps;
    own.steps = List.of();
    own.ask("r", RequestFixture.chat());
    own.steps = steps;
    own.pass(Duration.ofMillis(50));
    assertEquals(own.attempts(), List.of("r.1"));
    own.steps = List.of();
    own.ask("q", RequestFixture.chat());
    for (int pause = 0; pause < 7; pause++) {
      own.pass(Duration.ofSeconds(2));
    }
    assertEquals(refusal(own.effects), ErrorKind.NO_CAPACITY);
  }

  @Test
  public void lastAnswerDoesNotTakeSessionAway() {
    RequestFixture own = new RequestFixture();
    RequestFixture.Ask ask = RequestFixture.chat();
    ask.session = "s";
    own.ask("r", ask);
    ModelVersion other = new ModelVersion("small", "2");
    own.pins.pins.put("s/small", other);
    own.tokens("r.1", 0, 1);
    own.finish("r.1", 1);
    own.settle();
    assertEquals(own.pins.pins.get("s/small"), other);
  }

  @Test
  public void boundsRetriesOverAllRequests() {
    // A burst meets engines that all fail. Were each request retried on its own, the load would be
    // multiplied; the common budget lets a tenth of them, and the reserve, be tried again.
    RequestFixture own =
        new RequestFixture(RequestFixture.settings(0.1, 5, 0), new OpenAdmission(), 1);
    for (int request = 0; request < 50; request++) {
      own.ask("r" + request, RequestFixture.chat());
      for (int attempt = 1; attempt <= 5; attempt++) {
        own.fail("r" + request + "." + attempt, Moment.WRITTEN);
        own.pass(Duration.ofSeconds(1));
      }
      assertEquals(own.ends("r" + request), 1);
    }
    assertTrue(own.attempts().size() <= 50 + 5 + 5, "attempts " + own.attempts().size());
  }

  @Test
  public void escalatesOnShortRatingAndBillsBothSteps() {
    RequestFixture own = cascade();
    own.ask("r", RequestFixture.stream());
    own.tokens("r.1", 0, 2);
    own.finish("r.1", 2);
    assertTrue(own.list(CallerEffect.class).isEmpty(), "a rated step's answer is held");
    own.apply(new UpstreamEvent.Rated("r", "r.1", 0.5));
    assertEquals(own.last(UpstreamEffect.DispatchDraft.class).version(), RequestFixture.LARGE);
    own.tokens("r.2", 0, 1);
    own.finish("r.2", 1);
    own.settle();
    assertEquals(own.last(CallerEffect.EndStream.class).facts().model(), "large");
    assertEquals(own.ledger.bills.get("jury/r").costMicros(), 26);
    assertEquals(own.ledger.handedIn.size(), 1);
  }

  @Test
  public void judgesWithoutRatingByEstimate() {
    // The rating service is silent. An answer of a version that is known to be good is given out;
    // one of a doubtful version costs a further step.
    for (double chance : new double[] {0.9, 0.3}) {
      RequestFixture own = cascade();
      own.chance = chance;
      own.ask("r", RequestFixture.chat());
      own.tokens("r.1", 0, 2);
      own.finish("r.1", 2);
      own.pass(Duration.ofSeconds(3));
      own.settle();
      assertEquals(own.ends("r"), chance > 0.8 ? 1 : 0);
      assertEquals(own.attempts().size(), chance > 0.8 ? 1 : 2);
    }
  }

  @Test
  public void givesBestHeldAnswerWhenTheBetterStepFails() {
    RequestFixture own = cascade();
    own.ask("r", RequestFixture.chat());
    own.tokens("r.1", 0, 2);
    own.finish("r.1", 2);
    own.apply(new UpstreamEvent.Rated("r", "r.1", 0.5));
    own.pass(Duration.ofMillis(29_950));
    own.settle();
    CallerEffect.SendDraft sent = own.last(CallerEffect.SendDraft.class);
    assertEquals(sent.facts().model(), "small");
    assertTrue(sent.facts().notice().contains("deadline"));
  }

  @Test
  public void replansWhenVersionIsWithdrawnMeanwhile() {
    // An operator withdraws the next step's version while the first step's answer is rated. No
    // attempt goes to it; the caller gets the held answer.
    RequestFixture own = cascade();
    own.ask("r", RequestFixture.chat());
    own.tokens("r.1", 0, 2);
    own.finish("r.1", 2);
    own.configuration = RequestFixture.configuration(2, List.of(RequestFixture.LARGE));
    own.apply(new UpstreamEvent.Rated("r", "r.1", 0.5));
    own.settle();
    assertEquals(own.attempts().size(), 1);
    assertEquals(own.last(CallerEffect.SendDraft.class).facts().model(), "small");
  }

  @Test
  public void keepsSessionVersionUnlessWithdrawn() {
    ModelVersion old = new ModelVersion("small", "0");
    RequestFixture own = new RequestFixture();
    own.pins.pins.put("s/small", old);
    own.pins.lookup = SessionPins.Lookup.PENDING;
    RequestFixture.Ask ask = RequestFixture.chat();
    ask.session = "s";
    own.ask("r", ask);
    assertTrue(own.attempts().isEmpty(), "the owners are asked first");
    own.apply(new SessionEvent.PinsResolved("r"));
    assertEquals(own.last(UpstreamEffect.DispatchDraft.class).version(), old);
    own.configuration = RequestFixture.configuration(2, List.of(old));
    own.ask("q", ask);
    own.pass(RequestSettings.DEFAULT.pinTimeout().plusMillis(50));
    assertEquals(own.last(UpstreamEffect.DispatchDraft.class).version(), RequestFixture.SMALL);
    own.tokens("q.1", 0, 1);
    own.finish("q.1", 1);
    own.settle();
    assertTrue(own.last(CallerEffect.SendDraft.class).facts().notice().contains("moved"));
  }

  @Test
  public void billsWhatCallerUsedBeforeItLeft() {
    RequestFixture own = new RequestFixture();
    own.ask("r", RequestFixture.stream());
    own.tokens("r.1", 0, 3);
    own.apply(new CallerEvent.CallerLeft("r"));
    own.settle();
    assertEquals(own.last(UpstreamEffect.CancelAttempt.class).attemptId(), "r.1");
    assertEquals(own.ledger.bills.get("jury/r").costMicros(), 16);
    assertEquals(own.ends("r"), 0);
    assertEquals(own.part.activeRequests(), 0);
  }

  @Test
  public void refusesSecondDraftWithSameKeyWhileFirstRuns() {
    RequestFixture.Ask ask = RequestFixture.chat();
    ask.key = "k";
    RequestFixture own = new RequestFixture();
    own.ask("a", ask);
    own.ask("b", ask);
    assertEquals(own.last(CallerEffect.Refuse.class).error().kind(), ErrorKind.IN_PROGRESS);
    own.tokens("a.1", 0, 1);
    own.finish("a.1", 1);
    own.settle();
    own.ask("c", ask);
    own.tokens("c.1", 0, 1);
    own.finish("c.1", 1);
    own.settle();
    assertEquals(own.ledger.bills.size(), 1, "a resend adds no bill");
    assertEquals(own.ends("c"), 1);
  }

  @Test
  public void handsBillInAgainUntilItIsSafe() {
    // The quorum is away when the answer is whole. An answer sent now could be lost to the
    // statement; the last frame waits, and goes out once the bill is safe.
    RequestFixture own = new RequestFixture();
    own.ledger.reachable = false;
    own.ask("r", RequestFixture.chat());
    own.tokens("r.1", 0, 1);
    own.finish("r.1", 1);
    own.settle();
    assertEquals(own.ends("r"), 0);
    own.ledger.reachable = true;
    own.pass(Duration.ofMillis(300));
    own.settle();
    assertEquals(own.list(CallerEffect.SendDraft.class).size(), 1);
    own.ledger.reachable = false;
    own.ask("q", RequestFixture.chat());
    own.tokens("q.1", 0, 1);
    own.finish("q.1", 1);
    own.pass(Duration.ofSeconds(31));
    own.settle();
    assertEquals(own.last(CallerEffect.Refuse.class).error().runState(), RunState.RAN);
    assertEquals(own.part.activeRequests(), 0);
  }

  @Test
  public void boundsHeldBytes() {
    RequestFixture own = new RequestFixture();
    own.ask("r", RequestFixture.chat());
    own.tokens("r.1", 0, 3000);
    assertEquals(own.last(CallerEffect.Refuse.class).error().kind(), ErrorKind.NO_CAPACITY);
    assertEquals(own.part.heldBytes(), 0);
  }

  @Test
  public void dropsSampleAndNotStreamAtTheBoundOnHeldBytes() {
    RequestFixture own =
        new RequestFixture(RequestFixture.settings(0.1, 5, 1.0), new OpenAdmission(), 1);
    own.ask("r", RequestFixture.stream());
    own.tokens("r.1", 0, 1);
    assertTrue(own.part.heldBytes() > 0, "the text is kept to be rated");
    own.tokens("r.1", 1, 3000);
    assertEquals(own.part.heldBytes(), 0);
    own.finish("r.1", 3001);
    own.settle();
    assertEquals(own.list(CallerEffect.EndStream.class).size(), 1);
    assertTrue(own.list(UpstreamEffect.RequestRating.class).isEmpty());
  }

  @Test
  public void ratesSampledAnswersAfterwards() {
    RequestFixture own =
        new RequestFixture(RequestFixture.settings(0.1, 5, 1.0), new OpenAdmission(), 1);
    own.ask("r", RequestFixture.stream());
    own.tokens("r.1", 0, 1);
    own.finish("r.1", 1);
    own.settle();
    own.apply(new UpstreamEvent.Rated("r", "r.1", 0.25));
    AttemptOutcome last = own.outcomes.get(own.outcomes.size() - 1);
    assertEquals(last.ending(), AttemptOutcome.Ending.RATED_LATER);
    assertEquals(last.rating(), 0.25);
  }

  @Test
  public void draftThatEndsItsEnginesIsNotSentOnForGood() {
    // A caller sends the same draft again and again, and each engine that begins to run it ends.
    // Three engines later this is known; still each request is sent to as many engines as one
    // request may be, and the callers of all other drafts there lose their answers.
    RequestFixture own = new RequestFixture();
    int engines = own.upstreams.size();
    for (int request = 1; request <= 10; request++) {
      own.ask("r" + request, RequestFixture.stream());
      String attempt = newest(own);
      while (attempt.startsWith("r" + request + ".")) {
        UpstreamEffect.DispatchDraft sent = own.last(UpstreamEffect.DispatchDraft.class);
        own.upstreams.remove(sent.upstream());
        own.restart("e" + ++engines);
        own.fail(attempt, Moment.ANSWER_BEGUN);
        own.pass(Duration.ofSeconds(1));
        attempt = newest(own).equals(attempt) ? "" : newest(own);
      }
    }
    int sends = own.list(UpstreamEffect.DispatchDraft.class).size();
    assertTrue(sends <= 3 + 3, sends + " engines ended under one content");
  }

  private static String newest(RequestFixture own) {
    List<String> attempts = own.attempts();
    return attempts.isEmpty() ? "" : attempts.get(attempts.size() - 1);
  }
}
