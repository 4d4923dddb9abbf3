package org.skylarkfork.runtime.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.configuration.ConfigurationChange;
import org.skylarkfork.core.configuration.ModelVersion;
import org.skylarkfork.core.configuration.RollOut;
import org.skylarkfork.core.effect.CallerEffect;
import org.skylarkfork.core.effect.Effect;
import org.skylarkfork.core.effect.UpstreamEffect;
import org.skylarkfork.core.event.CallerEvent;
import org.skylarkfork.core.event.UpstreamEvent;
import org.skylarkfork.core.event.UpstreamEvent.AttemptStage;
import org.skylarkfork.core.request.Bytes;
import org.skylarkfork.core.request.CallerRequest;
import org.skylarkfork.core.request.RequestKind;
import org.skylarkfork.core.request.RunState;
import org.skylarkfork.core.request.Usage;
import org.skylarkfork.runtime.http.Sha256;

/** Whole sessions, from which the golden files are written. */
final class GoldenSessions {

  private final GoldenDaemon daemon = GoldenDaemon.serving();

  /**
   * A race starts: a lookup; a streamed draft whose stream is cut and resumed on another engine; a
   * draft whose cheap answer is rated too low and that the large model answers.
   */
  static GoldenDaemon raceStart() {
    GoldenSessions session = new GoldenSessions();
    session.lookup();
    session.cutStream();
    session.escalation();
    return session.daemon;
  }

  private void lookup() {
    List<Effect> sent = receive(call("lookup-1", GoldenDaemon.LOOKUP, "GET", null));
    String attempt = only(sent, UpstreamEffect.DispatchCall.class).attemptId();
    answerCall("lookup-1", attempt, "chip 1201: boat 7");
  }

  private void cutStream() {
    List<Effect> sent = receive(draft("ruling-1", GoldenDaemon.LARGE, true, null));
    UpstreamEffect.DispatchDraft first = only(sent, UpstreamEffect.DispatchDraft.class);
    tokens(first.attemptId(), "ruling-1", 0, "Boat 7 ");
    tokens(first.attemptId(), "ruling-1", 1, "started ");
    List<Effect> cut =
        daemon.apply(
            new UpstreamEvent.AttemptFailed(first.attemptId(), AttemptStage.ANSWER_BEGUN, "cut"));
    UpstreamEffect.DispatchDraft second = only(cut, UpstreamEffect.DispatchDraft.class);
    assertEquals(second.resumeOffset(), 2);
    assertTrue(!second.upstream().equals(first.upstream()));
    tokens(second.attemptId(), "ruling-1", 2, "early.");
    List<Effect> end = finish("ruling-1", second.attemptId(), new Usage(12, 3, 0));
    only(end, CallerEffect.EndStream.class);
    daemon.apply(new CallerEvent.AnswerDelivered("ruling-1"));
  }

  private void escalation() {
    List<Effect> sent = receive(draft("ruling-2", CallerRequest.AUTO, false, null));
    UpstreamEffect.DispatchDraft cheap = only(sent, UpstreamEffect.DispatchDraft.class);
    assertEquals(cheap.version().model(), GoldenDaemon.SMALL);
    tokens(cheap.attemptId(), "ruling-2", 0, "No idea.");
    List<Effect> held = finish("ruling-2", cheap.attemptId(), new Usage(12, 1, 0));
    only(held, UpstreamEffect.RequestRating.class);
    List<Effect> rated = daemon.apply(new UpstreamEvent.Rated("ruling-2", cheap.attemptId(), 0.2));
    UpstreamEffect.DispatchDraft large = only(rated, UpstreamEffect.DispatchDraft.class);
    assertEquals(large.version().model(), GoldenDaemon.LARGE);
    tokens(large.attemptId(), "ruling-2", 0, "A general recall.");
    List<Effect> end = finish("ruling-2", large.attemptId(), new Usage(12, 1, 0));
    assertEquals(only(end, CallerEffect.SendDraft.class).text(), "A general recall.");
    daemon.apply(new CallerEvent.AnswerDelivered("ruling-2"));
  }

  /**
   * Certificates are issued: the answer is lost on its way to the caller, and a resend with the
   * same key through the same entry gets the recorded one without a second run; then a connection
   * breaks after the call was written, so nobody knows whether it ran, and a resend is not run.
   */
  static GoldenDaemon certificates() {
    GoldenSessions session = new GoldenSessions();
    session.lostAnswer();
    session.unknownOutcome();
    return session.daemon;
  }

  private void lostAnswer() {
    List<Effect> sent = receive(call("issue-1", GoldenDaemon.CERTIFICATES, "POST", "flat-12b"));
    String attempt = only(sent, UpstreamEffect.DispatchCall.class).attemptId();
    String text = answerCall("issue-1", attempt, "certificate 42");
    List<Effect> resent = receive(call("issue-2", GoldenDaemon.CERTIFICATES, "POST", "flat-12b"));
    assertTrue(resent.stream().noneMatch(UpstreamEffect.DispatchCall.class::isInstance));
    CallerEffect.SendServiceAnswer again = only(resent, CallerEffect.SendServiceAnswer.class);
    assertEquals(again.body(), Bytes.ofText(text));
    daemon.apply(new CallerEvent.AnswerDelivered("issue-2"));
  }

  private void unknownOutcome() {
    List<Effect> sent = receive(call("issue-3", GoldenDaemon.CERTIFICATES, "POST", "flat-14a"));
    String attempt = only(sent, UpstreamEffect.DispatchCall.class).attemptId();
    List<Effect> broken =
        daemon.apply(new UpstreamEvent.AttemptFailed(attempt, AttemptStage.WRITTEN, "reset"));
    CallerEffect.Refuse refused = only(broken, CallerEffect.Refuse.class);
    assertEquals(refused.error().runState(), RunState.UNKNOWN);
    daemon.apply(new CallerEvent.AnswerDelivered("issue-3"));
    List<Effect> resent = receive(call("issue-4", GoldenDaemon.CERTIFICATES, "POST", "flat-14a"));
    assertTrue(resent.stream().noneMatch(UpstreamEffect.DispatchCall.class::isInstance));
    assertEquals(only(resent, CallerEffect.Refuse.class).error().runState(), RunState.UNKNOWN);
    daemon.apply(new CallerEvent.AnswerDelivered("issue-4"));
  }

  /**
   * A version is rolled out: a session that began before stays on the old one, a new session gets
   * the new one; then the old one is withdrawn while it answers the first session, whose answer
   * ends as it began and whose next request moves with a notice.
   */
  static GoldenDaemon rollOut() {
    GoldenSessions session = new GoldenSessions();
    session.answerIn("heat-1", "before-1", "1");
    session.daemon.change(
        "roll-out",
        new ConfigurationChange.StartRollOut(
            GoldenDaemon.LARGE, "1", "2", List.of(new RollOut.Step(100, List.of(), List.of()))));
    session.daemon.tick(Duration.ofMillis(100), 1);
    session.answerIn("heat-2", "new-1", "2");
    session.withdrawalMidAnswer();
    CallerEffect.SendDraft moved = session.answerIn("heat-1", "after-1", "2");
    assertTrue(String.valueOf(moved.facts().notice()).startsWith("session moved"));
    return session.daemon;
  }

  private void withdrawalMidAnswer() {
    List<Effect> sent = receive(draft("pinned-1", GoldenDaemon.LARGE, true, "heat-1"));
    UpstreamEffect.DispatchDraft running = only(sent, UpstreamEffect.DispatchDraft.class);
    assertEquals(running.version().version(), "1");
    tokens(running.attemptId(), "pinned-1", 0, "Rule 18 ");
    daemon.change(
        "withdrawal",
        new ConfigurationChange.WithdrawVersion(new ModelVersion(GoldenDaemon.LARGE, "1"), "2"));
    daemon.tick(Duration.ofMillis(100), 1);
    tokens(running.attemptId(), "pinned-1", 1, "applies.");
    List<Effect> end = finish("pinned-1", running.attemptId(), new Usage(12, 2, 0));
    only(end, CallerEffect.EndStream.class);
    daemon.apply(new CallerEvent.AnswerDelivered("pinned-1"));
  }

  private CallerEffect.SendDraft answerIn(String session, String id, String version) {
    List<Effect> sent = receive(draft(id, GoldenDaemon.LARGE, false, session));
    UpstreamEffect.DispatchDraft draft = only(sent, UpstreamEffect.DispatchDraft.class);
    assertEquals(draft.version().version(), version);
    tokens(draft.attemptId(), id, 0, "Room at the mark.");
    List<Effect> end = finish(id, draft.attemptId(), new Usage(12, 1, 0));
    daemon.apply(new CallerEvent.AnswerDelivered(id));
    return only(end, CallerEffect.SendDraft.class);
  }

  private List<Effect> receive(CallerRequest request) {
    List<Effect> effects = daemon.apply(new CallerEvent.RequestReceived(request));
    List<Effect> later = daemon.tick(Duration.ofMillis(20), 1);
    return Stream.concat(effects.stream(), later.stream()).toList();
  }

  private void tokens(String attempt, String id, long offset, String text) {
    daemon.apply(new UpstreamEvent.TokensArrived(attempt, id, offset, 1, text));
  }

  private List<Effect> finish(String id, String attempt, Usage usage) {
    List<Effect> effects =
        daemon.apply(new UpstreamEvent.DraftFinished(attempt, id, "stop", usage));
    List<Effect> later = daemon.tick(Duration.ofMillis(20), 1);
    return Stream.concat(effects.stream(), later.stream()).toList();
  }

  private String answerCall(String id, String attempt, String text) {
    List<Effect> effects =
        daemon.apply(
            new UpstreamEvent.ServiceAnswered(attempt, id, 200, List.of(), Bytes.ofText(text)));
    List<Effect> later = daemon.tick(Duration.ofMillis(20), 1);
    only(
        Stream.concat(effects.stream(), later.stream()).toList(),
        CallerEffect.SendServiceAnswer.class);
    daemon.apply(new CallerEvent.AnswerDelivered(id));
    return text;
  }

  private static <T> T only(List<Effect> effects, Class<T> type) {
    List<T> found = effects.stream().filter(type::isInstance).map(type::cast).toList();
    assertEquals(found.size(), 1, type.getSimpleName() + " in " + effects);
    return found.get(0);
  }

  private CallerRequest draft(String id, String model, boolean stream, @Nullable String session) {
    String body = "{\"model\":\"" + model + "\",\"messages\":[]}";
    return request(id, RequestKind.CHAT, model, "", "POST", body, stream, session, null);
  }

  private CallerRequest call(String id, String service, String method, @Nullable String key) {
    return request(id, RequestKind.SERVICE, "", service, method, "", false, null, key);
  }

  private CallerRequest request(
      String id,
      RequestKind kind,
      String model,
      String service,
      String method,
      String body,
      boolean stream,
      @Nullable String session,
      @Nullable String key) {
    return new CallerRequest(
        id,
        Sha256.hex(GoldenDaemon.TEAM_KEY),
        kind,
        model,
        service,
        method,
        kind == RequestKind.SERVICE ? "/x" : "",
        List.of(),
        kind == RequestKind.SERVICE ? "" : "user: Who was over the line?",
        Bytes.ofText(body),
        12,
        64,
        stream,
        5,
        session,
        null,
        key,
        daemon.now().plusSeconds(30),
        null);
  }
}
