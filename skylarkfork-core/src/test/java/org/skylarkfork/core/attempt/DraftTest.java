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
import org.skylarkfork.core.event.UpstreamEvent.AttemptStage;
import org.skylarkfork.core.quality.AttemptOutcome;
import org.skylarkfork.core.request.RunState;
import org.skylarkfork.core.routing.Plan;
import org.skylarkfork.core.session.SessionPins;
import org.testng.annotations.Test;

/** Tests of drafts on engines: failures, resumed streams, escalations, sessions and bills. */
public class DraftTest {

  private static RequestFixture cascade() {
    RequestFixture fixture = new RequestFixture();
    fixture.steps =
        List.of(
            new Plan.Step(RequestFixture.SMALL, true), new Plan.Step(RequestFixture.LARGE, false));
    return fixture;
  }

  @Test
  public void sendsFinalFrameOnlyAfterBillIsDurable() {
    RequestFixture fixture = new RequestFixture();
    fixture.send("r", RequestFixture.stream());
    fixture.tokens("r.1", 0, 2);
    fixture.finish("r.1", 2);
    assertEquals(fixture.finalEffectCount("r"), 0, "no final frame before the bill");
    fixture.settleLedger();
    assertEquals(fixture.finalEffectCount("r"), 1);
    assertEquals(fixture.lastEffect(CallerEffect.EndStream.class).facts().costMicros(), 14);
    assertEquals(fixture.ledger.bills.get("jury/r").costMicros(), 14);
    assertEquals(fixture.inFlight.get("e1"), 0);
  }

  @Test
  public void refusesRequestsThatMayNotRun() {
    // The caller gets a typed refusal with run state "not-run". The checks must come before any
    // attempt, so that no upstream work is wasted.
    RequestFixture.RequestOptions stranger = RequestFixture.chat();
    stranger.keyHash = "other";
    RequestFixture.RequestOptions unknown = RequestFixture.chat();
    unknown.model = "none";
    RequestFixture.RequestOptions forbidden = RequestFixture.chat();
    forbidden.model = "secret";
    RequestFixture fixture = new RequestFixture();
    assertEquals(refusal(fixture.send("a", stranger)), ErrorKind.UNAUTHORIZED);
    assertEquals(refusal(fixture.send("b", unknown)), ErrorKind.NOT_FOUND);
    assertEquals(refusal(fixture.send("c", forbidden)), ErrorKind.NOT_ALLOWED);
    fixture.serving = false;
    assertEquals(refusal(fixture.send("d", RequestFixture.chat())), ErrorKind.NOT_SERVING);
    fixture.serving = true;
    fixture.steps = List.of();
    fixture.configuration =
        RequestFixture.configuration(2, List.of(RequestFixture.SMALL, RequestFixture.LARGE));
    assertEquals(refusal(fixture.send("e", RequestFixture.chat())), ErrorKind.NOT_ALLOWED);
    RequestFixture.RequestOptions uncovered = RequestFixture.chat();
    uncovered.model = "large";
    assertEquals(refusal(fixture.send("f", uncovered)), ErrorKind.NOT_ALLOWED);
    assertTrue(fixture.dispatchedAttempts().isEmpty());
  }

  private static ErrorKind refusal(List<Effect> effects) {
    CallerEffect.Refuse refuse = RequestFixture.filter(effects, CallerEffect.Refuse.class).get(0);
    assertEquals(refuse.error().runState(), RunState.NOT_RUN);
    return refuse.error().kind();
  }

  @Test
  public void resumesCutStreamFromItsLastToken() {
    // The engine's connection breaks after three tokens. The rest is requested from another engine
    // of the same version, which repeats one token. The caller must get a stream without gaps.
    RequestFixture fixture = new RequestFixture();
    fixture.send("r", RequestFixture.stream());
    fixture.tokens("r.1", 0, 3);
    fixture.fail("r.1", AttemptStage.ANSWER_BEGUN);
    UpstreamEffect.DispatchDraft resumed = fixture.lastEffect(UpstreamEffect.DispatchDraft.class);
    assertEquals(resumed.resumeOffset(), 3);
    assertEquals(resumed.upstream(), "e2");
    fixture.tokens("r.2", 2, 1);
    fixture.tokens("r.2", 3, 2);
    fixture.finish("r.2", 2);
    fixture.settleLedger();
    assertEquals(streamed(fixture), RequestFixture.text(0, 5));
    assertEquals(fixture.finalEffectCount("r"), 1);
    assertEquals(fixture.counterTotal("tokens_duplicate"), 1.0);
  }

  private static String streamed(RequestFixture fixture) {
    StringBuilder text = new StringBuilder();
    fixture.effectsOf(CallerEffect.SendTokens.class).forEach(each -> text.append(each.text()));
    return text.toString();
  }

  @Test
  public void breaksStreamThatCannotBeResumed() {
    // Every engine breaks the stream until the attempts are used up. The caller must get an
    // explicit
    // error in place of the final frame, so that the answer doesn't look complete.
    RequestFixture fixture = new RequestFixture();
    fixture.send("r", RequestFixture.stream());
    fixture.tokens("r.1", 0, 1);
    for (int attempt = 1; attempt <= RequestFixture.SETTINGS.maxAttempts(); attempt++) {
      fixture.fail("r." + attempt, AttemptStage.ANSWER_BEGUN);
      fixture.advance(Duration.ofSeconds(1));
    }
    assertEquals(fixture.effectsOf(CallerEffect.BreakStream.class).size(), 1);
    assertEquals(fixture.finalEffectCount("r"), 1);
    assertTrue(fixture.ledger.bills.isEmpty());
    assertEquals(fixture.part.activeRequests(), 0);
  }

  @Test
  public void resumesAnswerWithMissingTokens() {
    // Tokens are lost in the middle and at the end of an answer that would look complete. Both gaps
    // are detected from the engine's offsets and counts, and the rest is requested again.
    RequestFixture fixture = new RequestFixture();
    fixture.send("r", RequestFixture.stream());
    fixture.tokens("r.1", 0, 1);
    fixture.tokens("r.1", 2, 1);
    assertEquals(fixture.effectsOf(UpstreamEffect.CancelAttempt.class).size(), 1);
    fixture.tokens("r.2", 1, 1);
    fixture.finish("r.2", 5);
    assertEquals(fixture.finalEffectCount("r"), 0);
    fixture.tokens("r.3", 2, 1);
    fixture.finish("r.3", 1);
    fixture.settleLedger();
    assertEquals(streamed(fixture), RequestFixture.text(0, 3));
  }

  @Test
  public void dropsLateAndCrossedAnswers() {
    // Another caller's tokens arrive on the connection of this request, followed by tokens of the
    // cancelled attempt. Neither may reach the caller.
    RequestFixture fixture = new RequestFixture();
    fixture.send("r", RequestFixture.stream());
    fixture.apply(new UpstreamEvent.TokensArrived("r.1", "other", 0, 1, "not yours"));
    assertEquals(fixture.counterTotal("answers_crossed"), 1.0);
    fixture.tokens("r.1", 0, 1);
    assertEquals(fixture.counterTotal("answers_late"), 1.0);
    fixture.tokens("r.2", 0, 1);
    fixture.finish("r.2", 1);
    fixture.settleLedger();
    assertEquals(streamed(fixture), RequestFixture.text(0, 1));
  }

  @Test
  public void failsOverFromSilentEngine() {
    RequestFixture fixture = new RequestFixture();
    fixture.send("r", RequestFixture.chat());
    fixture.advance(Duration.ofSeconds(21));
    assertEquals(fixture.lastEffect(UpstreamEffect.DispatchDraft.class).upstream(), "e2");
    assertEquals(fixture.effectsOf(UpstreamEffect.CancelAttempt.class).get(0).attemptId(), "r.1");
    for (int request = 0; request < 20; request++) {
      fixture.send("w" + request, RequestFixture.chat());
      fixture.tokens("w" + request + ".1", 0, 1);
      fixture.finish("w" + request + ".1", 1);
    }
    fixture.send("q", RequestFixture.chat());
    fixture.advance(Duration.ofSeconds(6));
    assertEquals(fixture.lastEffect(UpstreamEffect.DispatchDraft.class).attemptId(), "q.2");
  }

  @Test
  public void backsOffWhileVersionHasNoEngine() {
    // The only engine of a version restarts. The request backs off a few times; if no engine
    // returns, the request must be refused as "not-run" long before its deadline.
    RequestFixture fixture = new RequestFixture();
    List<Plan.Step> steps = fixture.steps;
    fixture.steps = List.of();
    fixture.send("r", RequestFixture.chat());
    fixture.steps = steps;
    fixture.advance(Duration.ofMillis(50));
    assertEquals(fixture.dispatchedAttempts(), List.of("r.1"));
    fixture.steps = List.of();
    fixture.send("q", RequestFixture.chat());
    for (int pause = 0; pause < 7; pause++) {
      fixture.advance(Duration.ofSeconds(2));
    }
    assertEquals(refusal(fixture.effects), ErrorKind.NO_CAPACITY);
  }

  @Test
  public void laterAnswerDoesNotReplaceSessionPin() {
    RequestFixture fixture = new RequestFixture();
    RequestFixture.RequestOptions options = RequestFixture.chat();
    options.session = "s";
    fixture.send("r", options);
    ModelVersion other = new ModelVersion("small", "2");
    fixture.pins.pins.put("s/small", other);
    fixture.tokens("r.1", 0, 1);
    fixture.finish("r.1", 1);
    fixture.settleLedger();
    assertEquals(fixture.pins.pins.get("s/small"), other);
  }

  @Test
  public void boundsRetriesOverAllRequests() {
    // All engines fail during a burst. Independent retries of each request would multiply the load;
    // the shared budget allows retries for a tenth of the requests, plus the reserve.
    RequestFixture fixture =
        new RequestFixture(RequestFixture.settings(0.1, 5, 0), new OpenAdmission(), 1);
    for (int request = 0; request < 50; request++) {
      fixture.send("r" + request, RequestFixture.chat());
      for (int attempt = 1; attempt <= 5; attempt++) {
        fixture.fail("r" + request + "." + attempt, AttemptStage.WRITTEN);
        fixture.advance(Duration.ofSeconds(1));
      }
      assertEquals(fixture.finalEffectCount("r" + request), 1);
    }
    assertTrue(
        fixture.dispatchedAttempts().size() <= 50 + 5 + 5,
        "attempts " + fixture.dispatchedAttempts().size());
  }

  @Test
  public void escalatesOnLowRatingAndBillsBothSteps() {
    RequestFixture fixture = cascade();
    fixture.send("r", RequestFixture.stream());
    fixture.tokens("r.1", 0, 2);
    fixture.finish("r.1", 2);
    assertTrue(fixture.effectsOf(CallerEffect.class).isEmpty(), "a rated step's answer is held");
    fixture.apply(new UpstreamEvent.Rated("r", "r.1", 0.5));
    assertEquals(
        fixture.lastEffect(UpstreamEffect.DispatchDraft.class).version(), RequestFixture.LARGE);
    fixture.tokens("r.2", 0, 1);
    fixture.finish("r.2", 1);
    fixture.settleLedger();
    assertEquals(fixture.lastEffect(CallerEffect.EndStream.class).facts().model(), "large");
    assertEquals(fixture.ledger.bills.get("jury/r").costMicros(), 26);
    assertEquals(fixture.ledger.submittedBills.size(), 1);
  }

  @Test
  public void decidesByEstimateWithoutRating() {
    // The rating service doesn't answer. An answer of a version with a high estimate is delivered;
    // an answer of a version with a low estimate leads to the next step.
    for (double chance : new double[] {0.9, 0.3}) {
      RequestFixture fixture = cascade();
      fixture.estimatedQuality = chance;
      fixture.send("r", RequestFixture.chat());
      fixture.tokens("r.1", 0, 2);
      fixture.finish("r.1", 2);
      fixture.advance(Duration.ofSeconds(3));
      fixture.settleLedger();
      assertEquals(fixture.finalEffectCount("r"), chance > 0.8 ? 1 : 0);
      assertEquals(fixture.dispatchedAttempts().size(), chance > 0.8 ? 1 : 2);
    }
  }

  @Test
  public void deliversBestHeldAnswerAtDeadline() {
    RequestFixture fixture = cascade();
    fixture.send("r", RequestFixture.chat());
    fixture.tokens("r.1", 0, 2);
    fixture.finish("r.1", 2);
    fixture.apply(new UpstreamEvent.Rated("r", "r.1", 0.5));
    fixture.advance(Duration.ofMillis(29_950));
    fixture.settleLedger();
    CallerEffect.SendDraft sent = fixture.lastEffect(CallerEffect.SendDraft.class);
    assertEquals(sent.facts().model(), "small");
    assertTrue(sent.facts().notice().contains("deadline"));
  }

  @Test
  public void replansWhenVersionIsWithdrawn() {
    // An operator withdraws the version of the next step while the first answer is being rated. The
    // withdrawn version must get no attempt, and the caller gets the held answer.
    RequestFixture fixture = cascade();
    fixture.send("r", RequestFixture.chat());
    fixture.tokens("r.1", 0, 2);
    fixture.finish("r.1", 2);
    fixture.configuration = RequestFixture.configuration(2, List.of(RequestFixture.LARGE));
    fixture.apply(new UpstreamEvent.Rated("r", "r.1", 0.5));
    fixture.settleLedger();
    assertEquals(fixture.dispatchedAttempts().size(), 1);
    assertEquals(fixture.lastEffect(CallerEffect.SendDraft.class).facts().model(), "small");
  }

  @Test
  public void keepsPinnedVersionUnlessWithdrawn() {
    ModelVersion old = new ModelVersion("small", "0");
    RequestFixture fixture = new RequestFixture();
    fixture.pins.pins.put("s/small", old);
    fixture.pins.lookup = SessionPins.Lookup.PENDING;
    RequestFixture.RequestOptions options = RequestFixture.chat();
    options.session = "s";
    fixture.send("r", options);
    assertTrue(fixture.dispatchedAttempts().isEmpty(), "the session owners are asked first");
    fixture.apply(new SessionEvent.PinsResolved("r"));
    assertEquals(fixture.lastEffect(UpstreamEffect.DispatchDraft.class).version(), old);
    fixture.configuration = RequestFixture.configuration(2, List.of(old));
    fixture.send("q", options);
    fixture.advance(RequestSettings.DEFAULT.pinTimeout().plusMillis(50));
    assertEquals(
        fixture.lastEffect(UpstreamEffect.DispatchDraft.class).version(), RequestFixture.SMALL);
    fixture.tokens("q.1", 0, 1);
    fixture.finish("q.1", 1);
    fixture.settleLedger();
    assertTrue(fixture.lastEffect(CallerEffect.SendDraft.class).facts().notice().contains("moved"));
  }

  @Test
  public void billsTokensSentBeforeCallerLeft() {
    RequestFixture fixture = new RequestFixture();
    fixture.send("r", RequestFixture.stream());
    fixture.tokens("r.1", 0, 3);
    fixture.apply(new CallerEvent.CallerLeft("r"));
    fixture.settleLedger();
    assertEquals(fixture.lastEffect(UpstreamEffect.CancelAttempt.class).attemptId(), "r.1");
    assertEquals(fixture.ledger.bills.get("jury/r").costMicros(), 16);
    assertEquals(fixture.finalEffectCount("r"), 0);
    assertEquals(fixture.part.activeRequests(), 0);
  }

  @Test
  public void refusesSecondDraftWithSameKeyWhileFirstRuns() {
    RequestFixture.RequestOptions options = RequestFixture.chat();
    options.key = "k";
    RequestFixture fixture = new RequestFixture();
    fixture.send("a", options);
    fixture.send("b", options);
    assertEquals(
        fixture.lastEffect(CallerEffect.Refuse.class).error().kind(), ErrorKind.IN_PROGRESS);
    fixture.tokens("a.1", 0, 1);
    fixture.finish("a.1", 1);
    fixture.settleLedger();
    fixture.send("c", options);
    fixture.tokens("c.1", 0, 1);
    fixture.finish("c.1", 1);
    fixture.settleLedger();
    assertEquals(fixture.ledger.bills.size(), 1, "a resend adds no bill");
    assertEquals(fixture.finalEffectCount("c"), 1);
  }

  @Test
  public void retriesBillUntilDurable() {
    // The quorum is unavailable when the answer is complete. If the answer were sent now, its bill
    // could be missing from the statement, so the final frame must wait for the durable bill.
    RequestFixture fixture = new RequestFixture();
    fixture.ledger.reachable = false;
    fixture.send("r", RequestFixture.chat());
    fixture.tokens("r.1", 0, 1);
    fixture.finish("r.1", 1);
    fixture.settleLedger();
    assertEquals(fixture.finalEffectCount("r"), 0);
    fixture.ledger.reachable = true;
    fixture.advance(Duration.ofMillis(300));
    fixture.settleLedger();
    assertEquals(fixture.effectsOf(CallerEffect.SendDraft.class).size(), 1);
    fixture.ledger.reachable = false;
    fixture.send("q", RequestFixture.chat());
    fixture.tokens("q.1", 0, 1);
    fixture.finish("q.1", 1);
    fixture.advance(Duration.ofSeconds(31));
    fixture.settleLedger();
    assertEquals(fixture.lastEffect(CallerEffect.Refuse.class).error().runState(), RunState.RAN);
    assertEquals(fixture.part.activeRequests(), 0);
  }

  @Test
  public void limitsHeldBytes() {
    RequestFixture fixture = new RequestFixture();
    fixture.send("r", RequestFixture.chat());
    fixture.tokens("r.1", 0, 3000);
    assertEquals(
        fixture.lastEffect(CallerEffect.Refuse.class).error().kind(), ErrorKind.NO_CAPACITY);
    assertEquals(fixture.part.heldBytes(), 0);
  }

  @Test
  public void dropsSampleInsteadOfStreamAtHeldBytesLimit() {
    RequestFixture fixture =
        new RequestFixture(RequestFixture.settings(0.1, 5, 1.0), new OpenAdmission(), 1);
    fixture.send("r", RequestFixture.stream());
    fixture.tokens("r.1", 0, 1);
    assertTrue(fixture.part.heldBytes() > 0, "the text is kept to be rated");
    fixture.tokens("r.1", 1, 3000);
    assertEquals(fixture.part.heldBytes(), 0);
    fixture.finish("r.1", 3001);
    fixture.settleLedger();
    assertEquals(fixture.effectsOf(CallerEffect.EndStream.class).size(), 1);
    assertTrue(fixture.effectsOf(UpstreamEffect.RequestRating.class).isEmpty());
  }

  @Test
  public void ratesSampledAnswersAfterwards() {
    RequestFixture fixture =
        new RequestFixture(RequestFixture.settings(0.1, 5, 1.0), new OpenAdmission(), 1);
    fixture.send("r", RequestFixture.stream());
    fixture.tokens("r.1", 0, 1);
    fixture.finish("r.1", 1);
    fixture.settleLedger();
    fixture.apply(new UpstreamEvent.Rated("r", "r.1", 0.25));
    AttemptOutcome last = fixture.outcomes.get(fixture.outcomes.size() - 1);
    assertEquals(last.ending(), AttemptOutcome.Ending.RATED_LATER);
    assertEquals(last.rating(), 0.25);
  }

  @Test
  public void doesNotKeepRetryingCrashingDraft() {
    // A caller resends the same draft, and each engine that starts to run it crashes, which also
    // loses the answers of all other drafts on that engine. After three crashes the draft must be
    // quarantined, instead of each resend reaching as many engines as it may have attempts.
    RequestFixture fixture = new RequestFixture();
    int engines = fixture.upstreams.size();
    for (int request = 1; request <= 10; request++) {
      fixture.send("r" + request, RequestFixture.stream());
      String attempt = newestAttempt(fixture);
      while (attempt.startsWith("r" + request + ".")) {
        UpstreamEffect.DispatchDraft sent = fixture.lastEffect(UpstreamEffect.DispatchDraft.class);
        fixture.upstreams.remove(sent.upstream());
        fixture.addEngine("e" + ++engines);
        fixture.fail(attempt, AttemptStage.ANSWER_BEGUN);
        fixture.advance(Duration.ofSeconds(1));
        attempt = newestAttempt(fixture).equals(attempt) ? "" : newestAttempt(fixture);
      }
    }
    int sends = fixture.effectsOf(UpstreamEffect.DispatchDraft.class).size();
    assertTrue(sends <= 3 + 3, sends + " engines crashed under one content");
  }

  private static String newestAttempt(RequestFixture fixture) {
    List<String> attempts = fixture.dispatchedAttempts();
    return attempts.isEmpty() ? "" : attempts.get(attempts.size() - 1);
  }
}
