package org.skylarkfork.core.attempt;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import org.skylarkfork.core.configuration.ConfigurationChange;
import org.skylarkfork.core.crash.RequestKey;
import org.skylarkfork.core.effect.CallerEffect;
import org.skylarkfork.core.effect.Effect;
import org.skylarkfork.core.effect.UpstreamEffect;
import org.skylarkfork.core.error.ErrorKind;
import org.skylarkfork.core.error.RoutingError;
import org.skylarkfork.core.event.ConfigurationEvent;
import org.skylarkfork.core.event.UpstreamEvent;
import org.skylarkfork.core.event.UpstreamEvent.Moment;
import org.skylarkfork.core.request.RunState;
import org.skylarkfork.core.routing.Plan;
import org.skylarkfork.core.upstream.Announcement;
import org.skylarkfork.core.upstream.UpstreamRun;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Each way by which one content could reach a further upstream after it was quarantined. */
public final class QuarantinedDraftTest {

  private RequestFixture own = new RequestFixture();
  private int engines = 3;

  /** Each test begins anew. */
  @BeforeMethod
  public void setUp() {
    own = new RequestFixture();
    engines = 3;
  }

  private RequestKey keyOf(String request) {
    UpstreamEffect.DispatchDraft sent =
        own.list(UpstreamEffect.DispatchDraft.class).stream()
            .filter(draft -> draft.request().requestId().equals(request))
            .findFirst()
            .orElseThrow();
    return CrashGuard.keyOf("jury", sent.request());
  }

  private void quarantine(RequestKey key) {
    propose(new ConfigurationChange.QuarantineRequest(key));
  }

  private void propose(ConfigurationChange change) {
    own.apply(new ConfigurationEvent.ChangeProposed("id", "operator", change));
  }

  private int sends() {
    return own.list(UpstreamEffect.DispatchDraft.class).size()
        + own.list(UpstreamEffect.DispatchCall.class).size();
  }

  private String newest() {
    List<String> attempts = own.attempts();
    return attempts.get(attempts.size() - 1);
  }

  /** Ends the engine of an attempt under it, while another one is started. */
  private void endUnder(String attempt) {
    UpstreamEffect.DispatchDraft sent = own.last(UpstreamEffect.DispatchDraft.class);
    own.upstreams.remove(sent.upstream());
    own.restart("e" + ++engines);
    own.fail(attempt, Moment.ANSWER_BEGUN);
    own.pass(Duration.ofSeconds(1));
  }

  private RoutingError refusal(List<Effect> effects) {
    List<CallerEffect.Refuse> refusals = RequestFixture.only(effects, CallerEffect.Refuse.class);
    return refusals.get(refusals.size() - 1).error();
  }

  /** Guards against a caller who is told to come back with what nobody will run. */
  @Test
  public void callerIsToldAtOnceThatItHasNotRunAndNoTimeToComeBack() {
    own.ask("r1", RequestFixture.stream());
    quarantine(keyOf("r1"));
    RoutingError error = refusal(own.ask("r2", RequestFixture.stream()));
    assertEquals(error.kind(), ErrorKind.QUARANTINED);
    assertEquals(error.kind().status(), 400);
    assertEquals(error.runState(), RunState.NOT_RUN);
    assertNull(error.retryAfterMillis());
    assertTrue(error.message().contains(keyOf("r1").toString()), error.message());
    assertEquals(sends(), 1);
  }

  /** Guards against a retry, and against a refusal that says not run of what has begun. */
  @Test
  public void nextAttemptIsNotMade() {
    own.ask("r1", RequestFixture.chat());
    quarantine(keyOf("r1"));
    RoutingError error = refusal(own.fail("r1.1", Moment.WRITTEN));
    assertEquals(error.kind(), ErrorKind.QUARANTINED);
    assertEquals(error.runState(), RunState.UNKNOWN);
    assertEquals(own.attempts(), List.of("r1.1"));
  }

  /** Guards against a resumed stream: its body differs, but it is the same request. */
  @Test
  public void streamIsNotResumed() {
    own.ask("r1", RequestFixture.stream());
    own.tokens("r1.1", 0, 2);
    quarantine(keyOf("r1"));
    own.fail("r1.1", Moment.ANSWER_BEGUN);
    assertEquals(own.attempts(), List.of("r1.1"));
    assertEquals(own.list(CallerEffect.BreakStream.class).size(), 1);
  }

  /** Guards against a larger model that is asked for what has ended the smaller one's engines. */
  @Test
  public void largerModelIsNotAskedAndBothModelsCount() {
    own.steps =
        List.of(
            new Plan.Step(RequestFixture.SMALL, true), new Plan.Step(RequestFixture.LARGE, false));
    own.ask("r1", RequestFixture.chat());
    own.finish(newest(), 0);
    while (own.list(CallerEffect.Refuse.class).isEmpty() && engines < 12) {
      endUnder(newest());
    }
    assertEquals(own.configuration.quarantined().size(), 1, "" + own.attempts());
  }

  /** Guards against an operator's own order that is taken for the doing of a draft. */
  @Test
  public void engineThatLeavesOrWasDrainedIsNotCounted() {
    for (int request = 1; request <= 4; request++) {
      own.ask("r" + request, RequestFixture.stream());
      UpstreamEffect.DispatchDraft sent = own.last(UpstreamEffect.DispatchDraft.class);
      own.upstreams.put(sent.upstream(), leaving(own.upstreams.get(sent.upstream())));
      own.fail("r" + request + ".1", Moment.ANSWER_BEGUN);
      own.pass(Duration.ofSeconds(1));
    }
    assertEquals(own.list(UpstreamEffect.ProbeUpstream.class), List.of());
    assertEquals(own.configuration.quarantined(), List.of());
  }

  private static Announcement leaving(Announcement before) {
    return new Announcement(
        before.id(),
        before.incarnation(),
        before.host(),
        before.port(),
        before.zone(),
        before.kind(),
        before.service(),
        before.models(),
        before.role(),
        before.capacity(),
        before.load(),
        before.checksFencing(),
        true,
        before.gone(),
        before.cacheEvents());
  }

  /** Guards against a cut connection that is taken for the end of an engine. */
  @Test
  public void engineThatStillTakesConnectionsHasNotEnded() {
    for (int request = 1; request <= 5; request++) {
      own.ask("r" + request, RequestFixture.stream());
      own.fail("r" + request + ".1", Moment.ANSWER_BEGUN);
      own.pass(Duration.ofSeconds(1));
    }
    assertTrue(own.list(UpstreamEffect.ProbeUpstream.class).size() > 0);
    assertEquals(own.configuration.quarantined(), List.of());
  }

  /** Guards against a draft that stays refused though its engines were mended. */
  @Test
  public void liftedDraftIsSentAgainAndOneMoreEndIsEnough() {
    own.ask("r1", RequestFixture.chat());
    while (own.configuration.quarantined().isEmpty()) {
      endUnder(newest());
      assertTrue(sends() < 8, "found after three ends");
    }
    final RequestKey key = own.configuration.quarantined().get(0);
    own.pass(Duration.ofSeconds(1));
    own.pass(Duration.ofMinutes(10));
    assertEquals(own.configuration.quarantined(), List.of(), "lifted by itself");
    own.pass(Duration.ofSeconds(1));
    own.ask("r9", RequestFixture.chat());
    assertEquals(newest(), "r9.1");
    endUnder("r9.1");
    assertEquals(own.configuration.quarantined(), List.of(key));
  }

  /** Guards against one team whose draft has another team's refused. */
  @Test
  public void teamsAreApart() {
    own.ask("r1", RequestFixture.chat());
    RequestKey key = keyOf("r1");
    quarantine(new RequestKey("other", key.content()));
    own.ask("r2", RequestFixture.chat());
    assertEquals(newest(), "r2.1");
  }

  /** Guards against a call that is sent to a second service process by its hedge. */
  @Test
  public void callIsNotSentAgainOnceItIsRefused() {
    own.ask("c1", RequestFixture.call("GET", null));
    UpstreamEffect.DispatchCall sent = own.last(UpstreamEffect.DispatchCall.class);
    RequestKey key = CrashGuard.keyOf("jury", sent.request());
    own.apply(
        new ConfigurationEvent.ChangeProposed(
            "id", "operator", new ConfigurationChange.QuarantineRequest(key)));
    assertEquals(refusal(own.fail("c1.1", Moment.WRITTEN)).kind(), ErrorKind.QUARANTINED);
    assertEquals(own.attempts(), List.of("c1.1"));
  }

  /** Guards against calls that change something and end each process of their service. */
  @Test
  public void changingCallThatEndsItsServiceIsFoundAndNeverSentTwice() {
    for (int call = 1; call <= 3; call++) {
      own.ask("c" + call, RequestFixture.call("POST", "key-" + call));
      own.settle();
      String upstream = own.last(UpstreamEffect.DispatchCall.class).upstream();
      own.upstreams.remove(upstream);
      own.fail("c" + call + ".1", Moment.WRITTEN);
      own.settle();
      own.pass(Duration.ofSeconds(1));
    }
    assertEquals(own.attempts(), List.of("c1.1", "c2.1", "c3.1"));
    assertEquals(own.configuration.quarantined().size(), 1);
    RoutingError error = refusal(own.ask("c4", RequestFixture.call("POST", "key-4")));
    assertEquals(error.kind(), ErrorKind.QUARANTINED);
    assertEquals(error.runState(), RunState.NOT_RUN);
  }

  /** Guards against a probe's word for an attempt that nobody knows any more. */
  @Test
  public void lateWordOfProbeIsIgnored() {
    own.ask("r1", RequestFixture.chat());
    own.apply(new UpstreamEvent.UpstreamProbed(new UpstreamRun("none", 1), false));
    assertEquals(sends(), 1);
  }
}
