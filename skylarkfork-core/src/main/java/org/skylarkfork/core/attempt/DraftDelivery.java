package org.skylarkfork.core.attempt;

import org.skylarkfork.core.Invariants;
import org.skylarkfork.core.configuration.ModelVersion;
import org.skylarkfork.core.effect.CallerEffect;
import org.skylarkfork.core.event.UpstreamEvent;
import org.skylarkfork.core.quality.AttemptOutcome;

/** Gives drafts to their callers: token by token or whole, with the version that answered. */
final class DraftDelivery {

  private final ActiveRequests requests;
  private final RequestCollaborators parts;
  private final DraftPlanner planning;
  private final RatingSampler sampler;
  private final RequestCompletion ending;

  DraftDelivery(
      ActiveRequests requests,
      RequestCollaborators parts,
      DraftPlanner planning,
      RatingSampler sampler,
      RequestCompletion ending) {
    this.requests = requests;
    this.parts = parts;
    this.planning = planning;
    this.sampler = sampler;
    this.ending = ending;
  }

  boolean drawSample(ModelVersion version) {
    return sampler.draw(version);
  }

  /** Adds tokens to the answer, and sends them on if the caller gets them as they come. */
  void append(ActiveRequest active, Attempt attempt, UpstreamEvent.TokensArrived event, EventContext turn) {
    boolean through = active.streamsDirectly();
    if (through) {
      Invariants.check(active.sentTokens == event.offset(), "a caller's tokens have no gap");
      beginStream(active, attempt.version, attempt.upstream, turn);
      turn.effect(new CallerEffect.SendTokens(active.id(), event.text()));
      active.sentTokens += event.tokens();
    }
    requests.append(active, event.tokens(), event.text(), !through || active.sampled);
  }

  private void beginStream(ActiveRequest active, ModelVersion version, String upstream, EventContext turn) {
    if (active.streamStarted) {
      return;
    }
    pin(active, version, turn);
    active.streamStarted = true;
    turn.observe("first_token_seconds", active.request.kind().name(), active.arrivedAt);
    turn.effect(new CallerEffect.BeginStream(active.id(), active.facts(version, upstream)));
  }

  private void pin(ActiveRequest active, ModelVersion version, EventContext turn) {
    String session = active.request.session();
    if (session == null || active.sessionToken != null) {
      return;
    }
    // Two first requests of a session may run at the same time; the one that answers last must not
    // take the session away from the version that the user saw first.
    ModelVersion kept = planning.keptVersion(active, version.model());
    ModelVersion pinned = kept == null ? version : kept;
    active.sessionToken = parts.pins().pin(active.team, session, pinned, turn.now());
  }

  /** Has the answer rated afterwards if it was drawn for that. */
  void sample(ActiveRequest active, HeldAnswer answer, AttemptOutcome outcome, EventContext turn) {
    if (active.sampled) {
      sampler.requestRating(active, answer, outcome, turn);
    }
  }

  /** Gives the caller an answer; its last frame waits for the bill. */
  void deliver(ActiveRequest active, HeldAnswer answer, EventContext turn) {
    pin(active, answer.version(), turn);
    CallerEffect last =
        active.request.stream() ? lastOfStream(active, answer, turn) : whole(active, answer);
    ending.end(
        active, last, null, ending.bill(active, answer.version().model(), answer.version()), turn);
  }

  private CallerEffect lastOfStream(ActiveRequest active, HeldAnswer answer, EventContext turn) {
    if (!active.streamStarted) {
      beginStream(active, answer.version(), answer.upstream(), turn);
      if (!answer.text().isEmpty()) {
        turn.effect(new CallerEffect.SendTokens(active.id(), answer.text()));
      }
    }
    return new CallerEffect.EndStream(
        active.id(),
        answer.finishReason(),
        answer.usage(),
        active.facts(answer.version(), answer.upstream()));
  }

  private static CallerEffect whole(ActiveRequest active, HeldAnswer answer) {
    return new CallerEffect.SendDraft(
        active.id(),
        answer.text(),
        answer.finishReason(),
        answer.usage(),
        active.facts(answer.version(), answer.upstream()));
  }
}
