package org.skylarkfork.core.attempt;

import org.skylarkfork.core.Invariants;
import org.skylarkfork.core.configuration.ModelVersion;
import org.skylarkfork.core.effect.CallerEffect;
import org.skylarkfork.core.event.UpstreamEvent;
import org.skylarkfork.core.quality.AttemptOutcome;

/** Delivers drafts to callers, as a stream or as a whole, with the version that answered. */
final class DraftDelivery {

  private final ActiveRequests requests;
  private final RequestCollaborators collaborators;
  private final DraftPlanner planner;
  private final RatingSampler sampler;
  private final RequestCompleter completer;

  DraftDelivery(
      ActiveRequests requests,
      RequestCollaborators collaborators,
      DraftPlanner planner,
      RatingSampler sampler,
      RequestCompleter completer) {
    this.requests = requests;
    this.collaborators = collaborators;
    this.planner = planner;
    this.sampler = sampler;
    this.completer = completer;
  }

  boolean drawSample(ModelVersion version) {
    return sampler.draw(version);
  }

  /** Appends tokens to the answer, and forwards them if the request streams directly. */
  void append(
      ActiveRequest active,
      Attempt attempt,
      UpstreamEvent.TokensArrived event,
      EventContext context) {
    boolean direct = active.streamsDirectly();
    if (direct) {
      Invariants.check(active.sentTokens == event.offset(), "a caller's tokens have no gap");
      beginStream(active, attempt.version, attempt.upstream, context);
      context.effect(new CallerEffect.SendTokens(active.id(), event.text()));
      active.sentTokens += event.tokens();
    }
    requests.append(active, event.tokens(), event.text(), !direct || active.sampled);
  }

  private void beginStream(
      ActiveRequest active, ModelVersion version, String upstream, EventContext context) {
    if (active.streamStarted) {
      return;
    }
    pinSession(active, version, context);
    active.streamStarted = true;
    context.observe("first_token_seconds", active.request.kind().name(), active.arrivedAt);
    context.effect(new CallerEffect.BeginStream(active.id(), active.facts(version, upstream)));
  }

  private void pinSession(ActiveRequest active, ModelVersion version, EventContext context) {
    String session = active.request.session();
    if (session == null || active.sessionToken != null) {
      return;
    }
    // The first two requests of a session may run concurrently. The later answer must not replace
    // the pin to the version that the user saw first.
    ModelVersion existing = planner.pinnedVersion(active, version.model());
    ModelVersion pinned = existing == null ? version : existing;
    active.sessionToken = collaborators.pins().pin(active.team, session, pinned, context.now());
  }

  /** Requests a rating of the answer if the request was sampled. */
  void requestSampleRating(
      ActiveRequest active, HeldAnswer answer, AttemptOutcome outcome, EventContext context) {
    if (active.sampled) {
      sampler.requestRating(active, answer, outcome, context);
    }
  }

  /** Delivers an answer; the final frame is sent once the bill is durable. */
  void deliver(ActiveRequest active, HeldAnswer answer, EventContext context) {
    pinSession(active, answer.version(), context);
    CallerEffect last =
        active.request.stream() ? endOfStream(active, answer, context) : wholeDraft(active, answer);
    completer.complete(
        active,
        last,
        null,
        completer.bill(active, answer.version().model(), answer.version()),
        context);
  }

  private CallerEffect endOfStream(ActiveRequest active, HeldAnswer answer, EventContext context) {
    if (!active.streamStarted) {
      beginStream(active, answer.version(), answer.upstream(), context);
      if (!answer.text().isEmpty()) {
        context.effect(new CallerEffect.SendTokens(active.id(), answer.text()));
      }
    }
    return new CallerEffect.EndStream(
        active.id(),
        answer.finishReason(),
        answer.usage(),
        active.facts(answer.version(), answer.upstream()));
  }

  private static CallerEffect wholeDraft(ActiveRequest active, HeldAnswer answer) {
    return new CallerEffect.SendDraft(
        active.id(),
        answer.text(),
        answer.finishReason(),
        answer.usage(),
        active.facts(answer.version(), answer.upstream()));
  }
}
