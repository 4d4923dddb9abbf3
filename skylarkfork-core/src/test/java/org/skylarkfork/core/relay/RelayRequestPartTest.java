package org.skylarkfork.core.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.skylarkfork.core.effect.RelayEffect;
import org.skylarkfork.core.event.LifecycleEvent;
import org.skylarkfork.core.event.RelayEvent;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of {@link RelayRequestPart}. */
public final class RelayRequestPartTest {

  private RelayFixture entry = new RelayFixture();

  /** Each test begins anew. */
  @BeforeMethod
  public void setUp() {
    entry = new RelayFixture();
  }

  private void busy() {
    for (long number = 1000; number < 1020; number++) {
      entry.sent(number, "/lookup/x");
      entry.apply(new RelayEvent.CallerLeft(number));
    }
  }

  /**
   * The caller gets 502 and not 503. A booking was sent and its connection lost without an answer.
   * The upstream may have booked, so neither a second upstream nor the promise "not run" is right.
   */
  @Test
  public void nonIdempotentRequestIsNotSentTwiceAfterItMayHaveRun() {
    busy();
    entry.sent(1, "/book/x");
    List<RelayEffect> effects = entry.fails(1, 1, AttemptFailure.NO_ANSWER, null);
    assertTrue(RelayFixture.none(effects, RelayEffect.SendAttempt.class));
    RelayEffect.Refuse refuse = RelayFixture.only(effects, RelayEffect.Refuse.class);
    assertEquals(refuse.refusal(), Refusal.OUTCOME_UNKNOWN);
    assertEquals(refuse.retryAfterMillis(), 0);
  }

  /**
   * The caller gets the second upstream's answer. The first was full and said that it has not run
   * the booking, so that sending it on can't book twice.
   */
  @Test
  public void requestThatHasNotRunGoesToAnotherUpstream() {
    busy();
    RelayEffect.SendAttempt first = entry.sent(1, "/book/x");
    List<RelayEffect> effects = entry.answers(1, 1, 503, true);
    RelayEffect.SendAttempt second = RelayFixture.only(effects, RelayEffect.SendAttempt.class);
    assertNotEquals(second.target().upstream().id(), first.target().upstream().id());
    assertTrue(second.target().fresh(), "a kept connection may be reset under the booking");
  }

  /** The caller is told at once that nothing ran and when to come back. Every upstream was full. */
  @Test
  public void requestThatNoUpstreamTakesIsRefusedAtOnceWithTimeToComeBack() {
    busy();
    entry.sent(1, "/book/x");
    entry.answers(1, 1, 503, true);
    entry.answers(1, 2, 503, true);
    List<RelayEffect> effects = entry.answers(1, 3, 503, true);
    RelayEffect.Refuse refuse = RelayFixture.only(effects, RelayEffect.Refuse.class);
    assertEquals(refuse.refusal(), Refusal.NO_UPSTREAM);
    assertTrue(refuse.retryAfterMillis() > 0);
  }

  /** The caller gets the second upstream's answer: a lookup may run twice. */
  @Test
  public void idempotentRequestIsSentAgainAfterFailure() {
    busy();
    entry.sent(1, "/lookup/x");
    assertTrue(
        !RelayFixture.none(
            entry.fails(1, 1, AttemptFailure.NO_ANSWER, null), RelayEffect.SendAttempt.class));
    assertTrue(!RelayFixture.none(entry.answers(1, 2, 500, false), RelayEffect.SendAttempt.class));
    RelayFixture.only(entry.answers(1, 3, 500, false), RelayEffect.PassAnswer.class);
  }

  /**
   * The caller sees one stream. The upstream broke off after event 4, and another one goes on from
   * there; the answer has begun, so its head isn't given again.
   */
  @Test
  public void brokenStreamGoesOnAtAnotherUpstream() {
    busy();
    entry.sent(1, "/stream/x");
    RelayFixture.only(entry.answers(1, 1, 200, false), RelayEffect.PassAnswer.class);
    List<RelayEffect> effects = entry.fails(1, 1, AttemptFailure.BROKEN_OFF, "4");
    RelayEffect.SendAttempt next = RelayFixture.only(effects, RelayEffect.SendAttempt.class);
    assertEquals(next.target().lastEventId(), "4");
    assertTrue(next.target().continues());
  }

  /**
   * The caller gets the third upstream's answer. Two upstreams had just crashed, so that no
   * connection to them could be made; nothing was sent, so the route's single attempt was still
   * unused.
   */
  @Test
  public void upstreamThatCannotBeReachedIsNoAttempt() {
    busy();
    entry.sent(1, "/book/x");
    RelayEffect.SendAttempt second =
        RelayFixture.only(
            entry.fails(1, 1, AttemptFailure.NOT_SENT, null), RelayEffect.SendAttempt.class);
    RelayEffect.SendAttempt third =
        RelayFixture.only(
            entry.fails(1, 2, AttemptFailure.NOT_SENT, null), RelayEffect.SendAttempt.class);
    assertNotEquals(third.target().upstream().id(), second.target().upstream().id());
    RelayFixture.only(entry.answers(1, 3, 200, false), RelayEffect.PassAnswer.class);
  }

  /**
   * The caller is told at once that nothing ran and when to come back. No upstream could be
   * reached.
   */
  @Test
  public void requestThatReachesNoUpstreamHasNotRun() {
    entry.sent(1, "/book/x");
    entry.fails(1, 1, AttemptFailure.NOT_SENT, null);
    entry.fails(1, 2, AttemptFailure.NOT_SENT, null);
    List<RelayEffect> effects = entry.fails(1, 3, AttemptFailure.NOT_SENT, null);
    RelayEffect.Refuse refuse = RelayFixture.only(effects, RelayEffect.Refuse.class);
    assertEquals(refuse.refusal(), Refusal.NO_UPSTREAM);
    assertTrue(refuse.retryAfterMillis() > 0);
  }

  private void answered(int count, String path, int millis) {
    for (long number = 5000; number < 5000 + count; number++) {
      entry.sent(number, path);
      entry.pass(millis);
      entry.answers(number, 1, 200, false);
      entry.apply(new RelayEvent.AnswerEnded(number, 1));
    }
  }

  /**
   * The caller gets another upstream's answer in time. The first was cut off without a reset; the
   * entry drops that attempt before it asks the other, so that the two never work on it at once.
   */
  @Test
  public void lookupIsTakenFromUpstreamThatKeepsSilent() {
    busy();
    answered(20, "/lookup/x", 40);
    String silent = entry.sent(1, "/lookup/x").target().upstream().id();
    assertTrue(entry.pass(250).isEmpty(), "less than three tenths of the objective");
    List<RelayEffect> effects = entry.pass(100);
    assertTrue(effects.get(0) instanceof RelayEffect.DropAttempt, effects.toString());
    RelayEffect.SendAttempt next = RelayFixture.only(effects, RelayEffect.SendAttempt.class);
    assertNotEquals(next.target().upstream().id(), silent);
    assertEquals(entry.counts.all().get(0).failures(), 0, "a slow version isn't a failing one");
    assertTrue(entry.pass(1000).isEmpty(), "only once");
  }

  /**
   * The caller gets an answer, not a failure. Two upstreams of the service have left; the last one
   * loses its answer once, and it is the only one that can be asked again.
   */
  @Test
  public void lookupGoesBackToTheLastUpstreamOfItsService() {
    busy();
    entry.view.tracks.get(1).markLeaving();
    entry.view.tracks.get(2).markLeaving();
    String only = entry.sent(1, "/lookup/x").target().upstream().id();
    RelayEffect.SendAttempt second =
        RelayFixture.only(
            entry.fails(1, 1, AttemptFailure.NO_ANSWER, null), RelayEffect.SendAttempt.class);
    assertEquals(second.target().upstream().id(), only);
    RelayEffect.SendAttempt third =
        RelayFixture.only(entry.answers(1, 2, 500, false), RelayEffect.SendAttempt.class);
    assertEquals(third.target().upstream().id(), only);
    RelayFixture.only(entry.answers(1, 3, 200, false), RelayEffect.PassAnswer.class);
  }

  /** The caller is told at once: the last upstream was full, and would be so again. */
  @Test
  public void fullUpstreamIsNotAskedAgain() {
    busy();
    entry.view.tracks.get(1).markLeaving();
    entry.view.tracks.get(2).markLeaving();
    entry.sent(1, "/lookup/x");
    RelayEffect.Refuse refuse =
        RelayFixture.only(entry.answers(1, 1, 503, true), RelayEffect.Refuse.class);
    assertEquals(refuse.refusal(), Refusal.NO_UPSTREAM);
  }

  /**
   * The caller gets the upstream's own failure as it is. There is no other upstream to ask and its
   * booking must not run twice.
   */
  @Test
  public void failureOfTheOnlyUpstreamIsPassedOn() {
    busy();
    entry.view.tracks.get(1).markLeaving();
    entry.view.tracks.get(2).markLeaving();
    entry.sent(1, "/book/x");
    RelayFixture.only(entry.answers(1, 1, 500, false), RelayEffect.PassAnswer.class);
  }

  /**
   * Callers are served half a second after a crash of everything and not sent back. The entry has
   * its configuration again before the new leader has heard of any upstream of the service.
   */
  @Test
  public void requestWaitsForTheFirstUpstreamAfterTheCrashOfEverything() {
    busy();
    final List<TrackedUpstream> known = List.copyOf(entry.view.tracks);
    entry.view.tracks.clear();
    entry.view.settled = false;
    assertTrue(entry.arrives(1, "/lookup/x").isEmpty());
    assertTrue(entry.pass(400).isEmpty());
    entry.view.tracks.addAll(known);
    RelayFixture.only(entry.pass(100), RelayEffect.SendAttempt.class);
  }

  /** The caller is told at once where a service has no upstream and none is to be expected. */
  @Test
  public void requestDoesNotWaitWhereNoUpstreamIsToBeExpected() {
    busy();
    entry.view.tracks.clear();
    RelayEffect.Refuse refuse =
        RelayFixture.only(entry.arrives(1, "/lookup/x"), RelayEffect.Refuse.class);
    assertEquals(refuse.refusal(), Refusal.NO_UPSTREAM);
  }

  /**
   * The caller learns at once when to come back. What is ahead of its request at every upstream
   * takes longer than it waits; sent, it would take their time from others and end at its deadline.
   */
  @Test
  public void requestThatCannotBeServedInTimeIsRefusedAtOnce() {
    busy();
    for (TrackedUpstream track : entry.view.tracks) {
      track.peerLoads().update("entry-2", 600, 0, RelayFixture.START);
    }
    RelayEffect.Refuse refuse =
        RelayFixture.only(entry.arrives(1, "/lookup/x"), RelayEffect.Refuse.class);
    assertEquals(refuse.refusal(), Refusal.OVERLOADED);
    assertTrue(refuse.retryAfterMillis() > 1500, refuse.toString());
  }

  /**
   * The caller waits for its booking. It may have run at the silent upstream, so no other one is
   * asked.
   */
  @Test
  public void bookingIsNeverTakenFromSilentUpstream() {
    busy();
    answered(20, "/book/x", 40);
    entry.sent(1, "/book/x");
    assertTrue(entry.pass(1400).isEmpty());
  }

  /**
   * Callers of a busy service wait. All its answers take long, so that a long wait shows no fault,
   * and asking another upstream would only add to the load.
   */
  @Test
  public void patienceGrowsWithTheUsualTimes() {
    busy();
    answered(20, "/lookup/x", 700);
    entry.sent(1, "/lookup/x");
    assertTrue(entry.pass(800).isEmpty());
  }

  /**
   * The caller sees one stream with a pause. The upstream fell silent after event 4 without closing
   * its connection, and another one goes on from there.
   */
  @Test
  public void silentStreamGoesOnAtAnotherUpstream() {
    busy();
    RelayEffect.SendAttempt first = entry.sent(1, "/stream/x");
    assertEquals(first.target().silenceMillis(), 480);
    entry.answers(1, 1, 200, false);
    List<RelayEffect> effects = entry.apply(new RelayEvent.AnswerSilent(1, 1, "4", 500));
    assertTrue(effects.get(0) instanceof RelayEffect.DropAttempt, effects.toString());
    RelayEffect.SendAttempt next = RelayFixture.only(effects, RelayEffect.SendAttempt.class);
    assertEquals(next.target().lastEventId(), "4");
    assertTrue(next.target().continues());
  }

  /**
   * The caller's stream goes on after a pause. Its upstream is busy and would go on by itself, but
   * no other one could go on in time; only a silence that no busy upstream shows moves the stream.
   */
  @Test
  public void streamStaysWhereOthersWouldBeLaterStill() {
    busy();
    for (TrackedUpstream track : entry.view.tracks) {
      track.peerLoads().update("entry-2", 60, 0, RelayFixture.START);
    }
    entry.sent(1, "/stream/x");
    entry.answers(1, 1, 200, false);
    assertTrue(entry.apply(new RelayEvent.AnswerSilent(1, 1, "4", 500)).isEmpty());
    assertTrue(entry.apply(new RelayEvent.AnswerSilent(1, 1, "4", 960)).isEmpty());
    RelayFixture.only(
        entry.apply(new RelayEvent.AnswerSilent(1, 1, "4", 1440)), RelayEffect.SendAttempt.class);
  }

  /** The caller's stream isn't touched: it can't be resumed, so its events may still come. */
  @Test
  public void silentStreamThatCannotBeResumedGoesOn() {
    busy();
    assertEquals(entry.sent(1, "/once/x").target().silenceMillis(), 0);
    entry.answers(1, 1, 200, false);
    assertTrue(entry.apply(new RelayEvent.AnswerSilent(1, 1, "4", 500)).isEmpty());
  }

  /**
   * A roll-out isn't judged by connections that had rested too long, nor is the upstream avoided;
   * the lookup is asked again, and the booking had a connection of its own.
   */
  @Test
  public void staleConnectionBlamesNobody() {
    busy();
    String first = entry.sent(1, "/lookup/x").target().upstream().id();
    RelayFixture.only(
        entry.fails(1, 1, AttemptFailure.STALE_CONNECTION, null), RelayEffect.SendAttempt.class);
    assertTrue(entry.counts.all().isEmpty(), entry.counts.all().toString());
    for (TrackedUpstream track : entry.view.tracks) {
      assertEquals(track.failureShare(), 0.0, first);
    }
  }

  /**
   * The caller sees a stream that breaks off. Its route can't be resumed, so a second run would
   * join pieces of two answers.
   */
  @Test
  public void brokenStreamThatCannotBeResumedIsBrokenOff() {
    busy();
    entry.sent(1, "/once/x");
    entry.answers(1, 1, 200, false);
    List<RelayEffect> effects = entry.fails(1, 1, AttemptFailure.BROKEN_OFF, "4");
    RelayFixture.only(effects, RelayEffect.BreakOff.class);
    assertTrue(RelayFixture.none(effects, RelayEffect.SendAttempt.class));
  }

  /**
   * The caller gets 504 at the route's timeout although it would wait longer, and the upstream's
   * work ends.
   */
  @Test
  public void requestEndsAtTheRoutesTimeout() {
    entry.sent(1, "/book/x");
    assertTrue(entry.pass(1499).isEmpty());
    List<RelayEffect> effects = entry.pass(1);
    RelayFixture.only(effects, RelayEffect.DropAttempt.class);
    assertEquals(RelayFixture.only(effects, RelayEffect.Refuse.class).refusal(), Refusal.TIME_OUT);
  }

  /** The upstream's work ends when the caller leaves; what comes later is ignored. */
  @Test
  public void callerThatLeavesEndsTheAttempt() {
    entry.sent(1, "/lookup/x");
    RelayFixture.only(entry.apply(new RelayEvent.CallerLeft(1)), RelayEffect.DropAttempt.class);
    assertTrue(entry.answers(1, 1, 200, false).isEmpty());
  }

  @Test
  public void unknownKeyAndPathAreRefused() {
    List<RelayEffect> noKey =
        entry.apply(new RelayEvent.RequestArrived(RelayFixture.request(1, "/lookup/x", null)));
    assertEquals(RelayFixture.only(noKey, RelayEffect.Refuse.class).refusal(), Refusal.UNKNOWN_KEY);
    assertEquals(
        RelayFixture.only(entry.arrives(2, "/nowhere/"), RelayEffect.Refuse.class).refusal(),
        Refusal.NO_ROUTE);
  }

  /**
   * The caller is told to come back. The entry was cut off, so a key that it believes in may have
   * been taken away, and a path that it doesn't know may have been added.
   */
  @Test
  public void entryWithoutProofRefusesKeyedRequestsAsNotRun() {
    entry.view.proven = false;
    for (String path : List.of("/lookup/x", "/nowhere/")) {
      assertTrue(entry.arrives(1, path).isEmpty());
      RelayEffect.Refuse refuse = RelayFixture.only(entry.pass(900), RelayEffect.Refuse.class);
      assertEquals(refuse.refusal(), Refusal.NOT_SERVING);
      assertTrue(refuse.retryAfterMillis() > 0);
    }
  }

  /**
   * The caller is served in its only try. Everything had crashed, so that each entry is as far as
   * this one; a caller that was sent back after less would find the same elsewhere.
   */
  @Test
  public void requestWaitsLongerAtAnEntryThatStarts() {
    entry.view.proven = false;
    entry.view.settled = false;
    assertTrue(entry.arrives(1, "/lookup/x").isEmpty());
    assertTrue(entry.pass(1400).isEmpty());
    entry.view.proven = true;
    RelayFixture.only(entry.pass(50), RelayEffect.SendAttempt.class);
  }

  /** The caller is served a little later. The entry had just started when the request came. */
  @Test
  public void requestWaitsUntilTheEntryCanServe() {
    entry.view.proven = false;
    assertTrue(entry.arrives(1, "/lookup/x").isEmpty());
    entry.view.proven = true;
    RelayFixture.only(entry.pass(200), RelayEffect.SendAttempt.class);
  }

  /**
   * The caller gets the large model's answer. The small one doubted its own, of which the caller
   * has had nothing.
   */
  @Test
  public void doubtedAnswerIsAskedOfTheLargerModel() {
    busy();
    assertEquals(entry.sent(1, "/sized/x").target().model(), "small");
    List<RelayEffect> effects = entry.apply(new RelayEvent.AnswerBegan(1, 1, 200, false, 10));
    RelayFixture.only(effects, RelayEffect.DropAttempt.class);
    assertEquals(
        RelayFixture.only(effects, RelayEffect.SendAttempt.class).target().model(), "large");
  }

  @Test
  public void trustedAnswerOfTheSmallModelIsPassed() {
    entry.sent(1, "/sized/x");
    List<RelayEffect> effects = entry.apply(new RelayEvent.AnswerBegan(1, 1, 200, false, 90));
    RelayFixture.only(effects, RelayEffect.PassAnswer.class);
  }

  /**
   * The caller is sent to another entry. This one stops, and a stream that begins late would be cut
   * when its time is over; a short call is still served.
   */
  @Test
  public void stoppingEntryRefusesWhatItCouldNotEnd() {
    entry.apply(new LifecycleEvent.StopRequested());
    entry.pass(5000);
    entry.sent(1, "/stream/x");
    entry.pass(1500);
    for (String path : List.of("/stream/x", "/book/x")) {
      RelayEffect.Refuse refuse =
          RelayFixture.only(entry.arrives(2, path), RelayEffect.Refuse.class);
      assertEquals(refuse.refusal(), Refusal.STOPPING);
      assertTrue(refuse.retryAfterMillis() > 0);
    }
  }

  /**
   * Upstreams get no more repeats than their share when all fail. Without the budget a failing
   * service would get three times its usual requests.
   */
  @Test
  public void repeatsStayWithinTheBudget() {
    int repeats = 0;
    for (long number = 1; number <= 100; number++) {
      entry.sent(number, "/lookup/x");
      for (int attempt = 1; attempt <= 3; attempt++) {
        List<RelayEffect> effects = entry.fails(number, attempt, AttemptFailure.NO_ANSWER, null);
        repeats += RelayFixture.none(effects, RelayEffect.SendAttempt.class) ? 0 : 1;
      }
    }
    assertTrue(repeats <= 91, "repeats: " + repeats);
    assertTrue(repeats >= 80, "repeats: " + repeats);
  }

  /**
   * Another run answers at the upstream's address. It refuses what names the run before, and gets
   * nothing more under that name.
   */
  @Test
  public void addressOfAnotherRunIsNotUsedAgain() {
    busy();
    String wrong = entry.sent(1, "/lookup/x").target().upstream().id();
    entry.answers(1, 1, 421, false);
    Set<String> used = new HashSet<>();
    for (long number = 2; number < 40; number++) {
      used.add(entry.sent(number, "/lookup/x").target().upstream().id());
    }
    assertTrue(!used.contains(wrong), wrong + " in " + used);
  }

  @Test
  public void teamAndPriorityOfTheTeamAreNamed() {
    RelayEffect.SendAttempt sent = entry.sent(1, "/lookup/x");
    assertEquals(sent.target().team(), "team");
    assertNull(sent.target().urgency(), "a plain service knows no urgency");
  }
}
