package org.skylarkfork.core.attempt;

import java.time.Duration;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.Invariants;
import org.skylarkfork.core.configuration.Configuration;
import org.skylarkfork.core.configuration.ModelVersion;
import org.skylarkfork.core.effect.UpstreamEffect;
import org.skylarkfork.core.upstream.Announcement;

/** Begins and ends attempts, and checks at the last moment that one may begin. */
final class Attempts {

  private final ActiveRequests requests;
  private final RequestCollaborators parts;

  Attempts(ActiveRequests requests, RequestCollaborators parts) {
    this.requests = requests;
    this.parts = parts;
  }

  /** Takes note of an attempt just before its dispatch. */
  Attempt begin(
      ActiveRequest active,
      Announcement upstream,
      @Nullable ModelVersion version,
      Duration timeout,
      EventContext turn) {
    checkMayBegin(active, version);
    active.attempts++;
    active.stepAttempts++;
    String id = active.id() + "." + active.attempts;
    Attempt attempt = new Attempt(id, upstream, version, turn.now(), timeout);
    requests.addAttempt(active, attempt);
    requests.wakeBy(active, attempt.silentAt());
    parts.chooser().dispatched(upstream.id(), active.request, turn.now());
    active.phase = ActiveRequest.Phase.ATTEMPTS;
    turn.timeline("request.dispatched", active, attempt, "attempt " + active.attempts);
    turn.count("attempts", "");
    return attempt;
  }

  private void checkMayBegin(ActiveRequest active, @Nullable ModelVersion version) {
    if (!active.idempotent) {
      Invariants.check(active.claimed, "a non-idempotent call is claimed before its dispatch");
      Invariants.check(!active.neverAgain, "a call that may have started is not sent again");
      Invariants.check(active.running.isEmpty(), "a non-idempotent call has one attempt at a time");
    }
    if (version != null) {
      Configuration current = parts.configuration().current();
      boolean allowed = current.team(active.team).filter(team -> team.allows(version)).isPresent();
      Invariants.check(allowed, "a draft runs only on a version that its team allows");
      Invariants.check(!current.isWithdrawn(version), "a withdrawn version gets no new work");
    }
  }

  /** Takes note that an attempt ended by itself. */
  void end(ActiveRequest active, Attempt attempt, boolean healthy, EventContext turn) {
    requests.removeAttempt(active, attempt);
    parts.chooser().ended(attempt.upstream, active.request, healthy, turn.now());
  }

  /** Gives up an attempt; whatever still comes of it is counted as late. */
  void cancel(ActiveRequest active, Attempt attempt, boolean healthy, EventContext turn) {
    end(active, attempt, healthy, turn);
    active.mayHaveStarted = true;
    turn.effect(new UpstreamEffect.CancelAttempt(attempt.id));
  }

  /** Gives up all attempts of a request whose answer is there or not wanted any more. */
  void cancelAll(ActiveRequest active, EventContext turn) {
    for (Attempt attempt : List.copyOf(active.running.values())) {
      cancel(active, attempt, true, turn);
    }
  }
}
