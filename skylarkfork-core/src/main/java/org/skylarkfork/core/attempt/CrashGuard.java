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

  private static final String REMEDY =
      "Each upstream that began to run this request has ended, so it is sent to none any more."
          + " Change it before you send it again, or ask your operator to lift the quarantine of ";

  private final RequestCollaborators parts;
  private final CrashDetector watch;

  CrashGuard(RequestCollaborators parts) {
    this.parts = parts;
    this.watch = new CrashDetector(parts.judges(), "upstreams_ended");
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
  @Nullable RoutingError refusal(String team, CallerRequest request) {
    return isAnyRefused() ? findRefusal(keyOf(team, request), RunState.NOT_RUN) : null;
  }

  /** Returns why an open request is sent to no further upstream, or null if it may be. */
  @Nullable RoutingError refusal(ActiveRequest active) {
    return isAnyRefused() ? findRefusal(active.content(), active.runState()) : null;
  }

  private boolean isAnyRefused() {
    return !parts.configuration().current().quarantined().isEmpty();
  }

  /** No time to come back is told: nobody will run it then either. */
  private @Nullable RoutingError findRefusal(RequestKey key, RunState state) {
    return parts.configuration().current().isQuarantined(key)
        ? new RoutingError(ErrorKind.QUARANTINED, REMEDY + key + ".", state, null)
        : null;
  }

  /**
   * Takes note of an attempt that was lost after its upstream may have begun it.
   *
   * <p>An upstream that leaves or was drained ends by itself.
   */
  void lost(ActiveRequest active, Attempt attempt, Moment moment, Turn turn) {
    if (!mayHaveEndedIt(moment) || endsByOrder(attempt.target.id())) {
      return;
    }
    Announcement target = attempt.target;
    UpstreamRun run = new UpstreamRun(target.id(), target.incarnation());
    String service = target.service() == null ? target.kind().name() : target.service();
    String version = attempt.version == null ? "" : attempt.version.toString();
    watch.recordLoss(
        new SuspectedUpstream(
            run,
            service,
            version,
            new UpstreamEffect.ProbeUpstream(run, target.host(), target.port())),
        active.content(),
        attempt.dispatchedAt,
        turn.now(),
        turn.output());
  }

  private static boolean mayHaveEndedIt(Moment moment) {
    return moment == Moment.PARTLY_WRITTEN
        || moment == Moment.WRITTEN
        || moment == Moment.ANSWER_BEGUN;
  }

  private boolean endsByOrder(String upstream) {
    Optional<Announcement> newest = parts.directory().find(upstream);
    boolean leaves = newest.filter(each -> each.leaving() || each.gone()).isPresent();
    return leaves || parts.configuration().current().drainedUpstreams().contains(upstream);
  }

  /** Takes note that the last upstream that a request was sent to answered it whole. */
  void served(ActiveRequest active, Turn turn) {
    if (watch.hasLosses()) {
      watch.recordServed(active.content(), turn.output());
    }
  }

  /** Takes the word of a probe. */
  void probed(UpstreamEvent.UpstreamProbed probed, Turn turn) {
    watch.onProbeResult(probed.upstream(), probed.reachable(), turn.now(), turn.output());
  }

  /** Tells again what may not have arrived. */
  void tick(Turn turn) {
    watch.tick(turn.now(), turn.output());
  }
}
