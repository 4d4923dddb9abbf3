package org.skylarkfork.core.attempt;

import java.time.Duration;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.Invariants;
import org.skylarkfork.core.configuration.Configuration;
import org.skylarkfork.core.configuration.ModelVersion;
import org.skylarkfork.core.effect.UpstreamEffect;
import org.skylarkfork.core.upstream.Announcement;

/** Starts, ends and cancels attempts, and checks the preconditions of each start. */
final class Attempts {

  private final ActiveRequests requests;
  private final RequestCollaborators collaborators;

  Attempts(ActiveRequests requests, RequestCollaborators collaborators) {
    this.requests = requests;
    this.collaborators = collaborators;
  }

  /** Registers an attempt that is about to be dispatched. */
  Attempt begin(
      ActiveRequest active,
      Announcement upstream,
      @Nullable ModelVersion version,
      Duration timeout,
      EventContext context) {
    checkMayBegin(active, version);
    active.attempts++;
    active.stepAttempts++;
    String id = active.id() + "." + active.attempts;
    Attempt attempt = new Attempt(id, upstream, version, context.now(), timeout);
    requests.addAttempt(active, attempt);
    requests.scheduleCheck(active, attempt.timeoutAt());
    collaborators.chooser().dispatched(upstream.id(), active.request, context.now());
    active.phase = ActiveRequest.Phase.ATTEMPTS;
    context.timeline("request.dispatched", active, attempt, "attempt " + active.attempts);
    context.count("attempts", "");
    return attempt;
  }

  private void checkMayBegin(ActiveRequest active, @Nullable ModelVersion version) {
    if (!active.idempotent) {
      Invariants.check(active.claimed, "a non-idempotent call is claimed before its dispatch");
      Invariants.check(!active.retryForbidden, "a call that may have started is not retried");
      Invariants.check(active.running.isEmpty(), "a non-idempotent call has one attempt at a time");
    }
    if (version != null) {
      Configuration current = collaborators.configuration().current();
      boolean allowed = current.team(active.team).filter(team -> team.allows(version)).isPresent();
      Invariants.check(allowed, "a draft runs only on a version that its team allows");
      Invariants.check(!current.isWithdrawn(version), "a withdrawn version gets no new work");
    }
  }

  /** Removes an attempt that ended on its own. */
  void end(ActiveRequest active, Attempt attempt, boolean healthy, EventContext context) {
    requests.removeAttempt(active, attempt);
    collaborators.chooser().ended(attempt.upstream, active.request, healthy, context.now());
  }

  /** Cancels an attempt; any later answer of it is dropped and counted as late. */
  void cancel(ActiveRequest active, Attempt attempt, boolean healthy, EventContext context) {
    end(active, attempt, healthy, context);
    active.mayHaveStarted = true;
    context.effect(new UpstreamEffect.CancelAttempt(attempt.id));
  }

  /** Cancels all running attempts of a request that has its answer or needs none any more. */
  void cancelAll(ActiveRequest active, EventContext context) {
    for (Attempt attempt : List.copyOf(active.running.values())) {
      cancel(active, attempt, true, context);
    }
  }
}
