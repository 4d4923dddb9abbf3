package org.skylarkfork.core.attempt;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.crash.AttemptInProgress;
import org.skylarkfork.core.crash.CrashDetector;
import org.skylarkfork.core.crash.RequestKey;
import org.skylarkfork.core.crash.RequestKeys;
import org.skylarkfork.core.crash.SuspectedUpstream;
import org.skylarkfork.core.effect.UpstreamEffect;
import org.skylarkfork.core.error.ErrorKind;
import org.skylarkfork.core.error.RoutingError;
import org.skylarkfork.core.event.UpstreamEvent;
import org.skylarkfork.core.event.UpstreamEvent.AttemptStage;
import org.skylarkfork.core.message.CrashMessage.PartsSuspected;
import org.skylarkfork.core.request.CallerRequest;
import org.skylarkfork.core.request.RunState;
import org.skylarkfork.core.routing.StableHash;
import org.skylarkfork.core.upstream.Announcement;
import org.skylarkfork.core.upstream.UpstreamKind;
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

  private static final String PART_QUARANTINE_MESSAGE =
      "Each upstream that began to run a request with one of the lines of this prompt has ended,"
          + " so that requests with it are sent to none any more. Leave the line out, or ask your"
          + " operator to lift the quarantine of ";

  /** Maximum number of characters of a line that an error quotes. */
  private static final int MAX_QUOTED = 80;

  private final RequestCollaborators collaborators;
  private final CrashDetector detector;

  CrashGuard(RequestCollaborators collaborators) {
    this.collaborators = collaborators;
    this.detector = new CrashDetector(collaborators.crashReviewers(), "upstreams_ended");
  }

  /**
   * Returns the keys of a request, which are the same for a resend at any entry: of its content,
   * and of the lines of its prompt, which other requests may share.
   */
  static RequestKeys keysOf(String team, CallerRequest request) {
    return new RequestKeys(
        contentKey(team, request),
        () -> request.prompt().lines().filter(line -> !line.isBlank()).toList());
  }

  private static RequestKey contentKey(String team, CallerRequest request) {
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
        ? quarantineError(keysOf(team, request), RunState.NOT_RUN)
        : null;
  }

  /** Returns the refusal of a quarantined active request, or null if it may be dispatched. */
  @Nullable RoutingError quarantineRefusal(ActiveRequest active) {
    return hasQuarantinedRequests() ? quarantineError(active.keys(), active.runState()) : null;
  }

  private boolean hasQuarantinedRequests() {
    return !collaborators.configuration().current().quarantined().isEmpty();
  }

  /** The error has no retry time, since the quarantine applies to later resends too. */
  private @Nullable RoutingError quarantineError(RequestKeys keys, RunState state) {
    RequestKey key = keys.findFirst(collaborators.configuration().current()::isQuarantined);
    return key == null
        ? null
        : new RoutingError(ErrorKind.QUARANTINED, describe(key, keys), state, null);
  }

  private static String describe(RequestKey key, RequestKeys keys) {
    String part = keys.partId(key);
    String message = part == null ? QUARANTINE_MESSAGE : PART_QUARANTINE_MESSAGE;
    String quoted = part == null ? "" : " The line begins: " + abbreviate(part);
    return message + key + "." + quoted;
  }

  private static String abbreviate(String line) {
    return line.substring(0, Math.min(MAX_QUOTED, line.length()));
  }

  /**
   * Reports an attempt that was lost after its upstream may have started it.
   *
   * <p>Upstreams that leave or were drained are ignored, since they stop on their own.
   */
  void attemptLost(
      ActiveRequest active, Attempt attempt, AttemptStage stage, EventContext context) {
    if (!mayHaveCrashedUpstream(stage) || isPlannedShutdown(attempt.target.id())) {
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
        active.keys(),
        attempt.dispatchedAt,
        context.now(),
        context.output());
  }

  private static boolean mayHaveCrashedUpstream(AttemptStage stage) {
    return stage == AttemptStage.PARTLY_WRITTEN
        || stage == AttemptStage.WRITTEN
        || stage == AttemptStage.ANSWER_BEGUN;
  }

  private boolean isPlannedShutdown(String upstream) {
    Optional<Announcement> newest = collaborators.directory().find(upstream);
    boolean leaves = newest.filter(each -> each.leaving() || each.gone()).isPresent();
    return leaves || collaborators.configuration().current().drainedUpstreams().contains(upstream);
  }

  /** Reports that the last upstream of a request answered it completely. */
  void requestServed(ActiveRequest active, EventContext context) {
    RequestKeys keys = active.keys();
    detector.recordServed(keys, serviceOf(active.request), context.now(), context.output());
    RequestKey quarantined =
        hasQuarantinedRequests()
            ? keys.findFirst(collaborators.configuration().current()::isQuarantined)
            : null;
    if (quarantined != null && !quarantined.equals(keys.content())) {
      detector.reportServedPart(quarantined, context.output());
    }
  }

  private static String serviceOf(CallerRequest request) {
    return request.service().isEmpty() ? UpstreamKind.ENGINE.name() : request.service();
  }

  /** Answers the crash reviewer's question about suspected parts of prompts. */
  void partsSuspected(
      PartsSuspected question, Collection<ActiveRequest> active, EventContext context) {
    List<AttemptInProgress> inProgress = new ArrayList<>();
    for (ActiveRequest request : active) {
      for (Attempt attempt : request.running.values()) {
        inProgress.add(new AttemptInProgress(request.keys(), attempt.dispatchedAt));
      }
    }
    detector.onPartsSuspected(question, inProgress, context.now(), context.output());
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
