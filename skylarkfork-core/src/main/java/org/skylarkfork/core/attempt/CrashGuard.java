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
import org.skylarkfork.core.event.UpstreamEvent.Moment;
import org.skylarkfork.core.request.CallerRequest;
import org.skylarkfork.core.request.RunState;
import org.skylarkfork.core.routing.StableHash;
import org.skylarkfork.core.upstream.Announcement;
import org.skylarkfork.core.upstream.UpstreamRun;

/**
 * Keeps requests that end their upstreams from the next one, and reports those that were lost.
 *
 * <p>Attempts are bounded for each request, but a caller that sends its request again begins anew
 * at any entry. What is known of a request therefore goes by its content and outlives it.
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

  /** Returns what a request has in common with the same one sent again, at whatever entry. */
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

  /** Returns why a request that has just come goes to no upstream, or null if it may. */
  @Nullable RoutingError quarantineRefusal(String team, CallerRequest request) {
    return hasQuarantinedRequests()
        ? quarantineError(keyOf(team, request), RunState.NOT_RUN)
        : null;
  }

  /** Returns why an open request is sent to no further upstream, or null if it may be. */
  @Nullable RoutingError quarantineRefusal(ActiveRequest active) {
    return hasQuarantinedRequests()
        ? quarantineError(active.contentKey(), active.runState())
        : null;
  }

  private boolean hasQuarantinedRequests() {
    return !collaborators.configuration().current().quarantined().isEmpty();
  }

  /** No time to come back is told: nobody will run it then either. */
  private @Nullable RoutingError quarantineError(RequestKey key, RunState state) {
    return collaborators.configuration().current().isQuarantined(key)
        ? new RoutingError(ErrorKind.QUARANTINED, QUARANTINE_MESSAGE + key + ".", state, null)
        : null;
  }

  /**
   * Takes note of an attempt that was lost after its upstream may have begun it.
   *
   * <p>An upstream that leaves or was drained ends by itself.
   */
  void attemptLost(ActiveRequest active, Attempt attempt, Moment moment, EventContext context) {
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

  private static boolean mayHaveCrashedUpstream(Moment moment) {
    return moment == Moment.PARTLY_WRITTEN
        || moment == Moment.WRITTEN
        || moment == Moment.ANSWER_BEGUN;
  }

  private boolean isPlannedShutdown(String upstream) {
    Optional<Announcement> newest = collaborators.directory().find(upstream);
    boolean leaves = newest.filter(each -> each.leaving() || each.gone()).isPresent();
    return leaves || collaborators.configuration().current().drainedUpstreams().contains(upstream);
  }

  /** Takes note that the last upstream that a request was sent to answered it whole. */
  void requestServed(ActiveRequest active, EventContext context) {
    if (detector.hasLosses()) {
      detector.recordServed(active.contentKey(), context.output());
    }
  }

  /** Takes the word of a probe. */
  void probed(UpstreamEvent.UpstreamProbed probed, EventContext context) {
    detector.onProbeResult(probed.upstream(), probed.reachable(), context.now(), context.output());
  }

  /** Tells again what may not have arrived. */
  void tick(EventContext context) {
    detector.tick(context.now(), context.output());
  }
}
