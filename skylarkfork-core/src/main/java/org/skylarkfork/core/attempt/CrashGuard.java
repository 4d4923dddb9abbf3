package org.skylarkfork.core.attempt;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.crash.CrashDetector;
import org.skylarkfork.core.crash.RequestKey;
import org.skylarkfork.core.crash.SuspectedUpstream;
import org.skylarkfork.core.effect.UpstreamEffect;
import org.skylarkfork.core.error.ErrorKind;
import org.skylarkfork.core.error.RoutingError;
import org.skylarkfork.core.event.UpstreamEvent;
import org.skylarkfork.core.event.UpstreamEvent.AttemptStage;
import org.skylarkfork.core.request.CallerRequest;
import org.skylarkfork.core.request.RunState;
import org.skylarkfork.core.routing.StableHash;
import org.skylarkfork.core.upstream.Announcement;
import org.skylarkfork.core.upstream.UpstreamRun;

/**
 * Refuses quarantined requests, and reports attempts that were lost together with their upstream.
 *
 * <p>The number of attempts is limited for each request, but a caller that resends its request
 * starts again at any entry. Crashes are therefore counted by the content of a request and outlive
 * the request.
 */
final class CrashGuard {

  private static final String QUARANTINE_MESSAGE =
      "Each upstream that began to run this request has ended, so it is sent to none any more."
          + " Change it before you send it again, or ask your operator to lift the quarantine of ";

  private final RequestCollaborators collaborators;
  private final CrashDetector detector;

  CrashGuard(RequestCollaborators collaborators) {
    this.collaborators = collaborators;
    this.detector = new CrashDetector(collaborators.crashReviewers(), "upstreams_ended");
  }

  /** Returns the key of a request's content, which is the same for a resend at any entry. */
  static RequestKey keyOf(String team, CallerRequest request) {
    return new RequestKey(
        team,
        StableHash.of(
            request.kind().name(),
            request.service(),
            request.method(),
            request.path(),
            request.prompt(),
            new String(request.body().value(), StandardCharsets.ISO_8859_1)));
  }

  /** Returns the refusal of a quarantined request that has just arrived, or null to accept. */
  @Nullable RoutingError quarantineRefusal(String team, CallerRequest request) {
    return hasQuarantinedRequests()
        ? quarantineError(keyOf(team, request), RunState.NOT_RUN)
        : null;
  }

  /** Returns the refusal of a quarantined active request, or null if it may be dispatched. */
  @Nullable RoutingError quarantineRefusal(ActiveRequest active) {
    return hasQuarantinedRequests()
        ? quarantineError(active.contentKey(), active.runState())
        : null;
  }

  private boolean hasQuarantinedRequests() {
    return !collaborators.configuration().current().quarantined().isEmpty();
  }

  /** The error has no retry time, since the quarantine applies to later resends too. */
  private @Nullable RoutingError quarantineError(RequestKey key, RunState state) {
    return collaborators.configuration().current().isQuarantined(key)
        ? new RoutingError(ErrorKind.QUARANTINED, QUARANTINE_MESSAGE + key + ".", state, null)
        : null;
  }

  /**
   * Reports an attempt that was lost after its upstream may have started it.
   *
   * <p>Upstreams that leave or were drained are ignored, since they stop on their own.
   */
  void attemptLost(
      ActiveRequest active, Attempt attempt, AttemptStage moment, EventContext context) {
    if (!mayHaveCrashedUpstream(moment) || isPlannedShutdown(attempt.target.id())) {
      return;
    }
    Announcement target = attempt.target;
    UpstreamRun run = new UpstreamRun(target.id(), target.incarnation());
    String service = target.service() == null ? target.kind().name() : target.service();
    String version = attempt.version == null ? "" : attempt.version.toString();
    detector.recordLoss(
        new SuspectedUpstream(
            run,
            service,
            version,
            new UpstreamEffect.ProbeUpstream(run, target.host(), target.port())),
        active.contentKey(),
        attempt.dispatchedAt,
        context.now(),
        context.output());
  }

  private static boolean mayHaveCrashedUpstream(AttemptStage moment) {
    return moment == AttemptStage.PARTLY_WRITTEN
        || moment == AttemptStage.WRITTEN
        || moment == AttemptStage.ANSWER_BEGUN;
  }

  private boolean isPlannedShutdown(String upstream) {
    Optional<Announcement> newest = collaborators.directory().find(upstream);
    boolean leaves = newest.filter(each -> each.leaving() || each.gone()).isPresent();
    return leaves || collaborators.configuration().current().drainedUpstreams().contains(upstream);
  }

  /** Reports that the last upstream of a request answered it completely. */
  void requestServed(ActiveRequest active, EventContext context) {
    if (detector.hasLosses()) {
      detector.recordServed(active.contentKey(), context.output());
    }
  }

  /** Applies the result of an upstream probe. */
  void probed(UpstreamEvent.UpstreamProbed probed, EventContext context) {
    detector.onProbeResult(probed.upstream(), probed.reachable(), context.now(), context.output());
  }

  /** Sends reports again that may not have arrived. */
  void tick(EventContext context) {
    detector.tick(context.now(), context.output());
  }
}
