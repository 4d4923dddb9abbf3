package org.skylarkfork.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.effect.RelayEffect;
import org.skylarkfork.core.message.RelayMessage.AttemptProgress;
import org.skylarkfork.core.placement.PromptPrefixes;

/** Sends attempts to upstreams, and keeps account of what is under way there. */
final class AttemptSender {

  /**
   * Share of the longest pause that is on time after which a silent stream goes on elsewhere; the
   * rest is for the other upstream to begin.
   */
  private static final double SILENCE_SHARE = 0.6;

  /** Connections of all entries together stay below the upstream's bound by this share. */
  private static final double CONNECTION_SHARE = 0.8;

  private final RelayView view;
  private final String zone;
  private final UpstreamPicker picker;
  private final SchedulerClient schedulers;
  private final VersionRule versions;
  private final SentPrefixes prompts;
  private final RequestTrace trace;

  AttemptSender(
      RelayView view,
      String zone,
      UpstreamPicker picker,
      SchedulerClient schedulers,
      VersionRule versions,
      SentPrefixes prompts,
      RequestTrace trace) {
    this.view = view;
    this.zone = zone;
    this.picker = picker;
    this.schedulers = schedulers;
    this.versions = versions;
    this.prompts = prompts;
    this.trace = trace;
  }

  /**
   * Returns where the next attempt would go, or null if no upstream can take it: to an upstream
   * that hasn't had the request, else to one whose answer failed.
   *
   * <p>Where all others have left, the last upstream of a service answers most repeats well; not
   * asked again, its first failure was the caller's.
   */
  @Nullable Placement place(ActiveRelay relay, Instant now) {
    Placement fresh = pick(relay, relay.modelName(), relay.tried, now);
    boolean mayReturn = fresh == null && relay.route.retryable() && !relay.forwarding;
    return mayReturn ? pick(relay, relay.modelName(), relay.refusedBy, now) : fresh;
  }

  /** Returns whether a request ends the upstreams that run it, as all entries know. */
  boolean isQuarantined(ActiveRelay relay) {
    return view.isQuarantined(relay.key);
  }

  /** Returns whether upstreams of a request's service are kept from it by an evacuation alone. */
  boolean isEvacuated(ActiveRelay relay) {
    List<TrackedUpstream> all = view.upstreams(relay.service.name());
    return all.stream().anyMatch(track -> track.condition() == UpstreamCondition.EVACUATED)
        && all.stream().allMatch(track -> track.condition().rejectsNewWork());
  }

  /**
   * Returns when an upstream takes a request that none takes now, or zero if that isn't a matter of
   * rate limits.
   */
  Duration untilTaken(ActiveRelay relay, Instant now) {
    return picker.timeUntilAccepted(query(relay, relay.modelName(), relay.tried), now);
  }

  /** Returns where an attempt with another of the route's models would go, or null. */
  @Nullable Placement placeLarger(ActiveRelay relay, int model, Instant now) {
    return pick(relay, relay.route.models().get(model), triedAndPresent(relay), now);
  }

  /** Returns where an attempt would go in place of the one that is under way, or null. */
  @Nullable Placement placeElsewhere(ActiveRelay relay, Instant now) {
    return pick(relay, relay.modelName(), triedAndPresent(relay), now);
  }

  private static Set<String> triedAndPresent(ActiveRelay relay) {
    Set<String> excluded = new HashSet<>(relay.tried);
    TrackedUpstream present = relay.upstream();
    if (present != null) {
      excluded.add(present.instance().id());
    }
    return excluded;
  }

  private @Nullable Placement pick(
      ActiveRelay relay, @Nullable String model, Set<String> excluded, Instant now) {
    return picker.pick(query(relay, model, excluded), now);
  }

  private PlacementQuery query(ActiveRelay relay, @Nullable String model, Set<String> excluded) {
    String version = relay.version;
    VersionRule.Allowed allowed =
        version == null ? versions.allowed(relay.service.name(), relay.request) : version::equals;
    return new PlacementQuery(
        relay.service,
        model,
        chain(relay, model),
        relay.route.objectiveMillis(),
        zone,
        upstream -> allowed.allows(upstream.version()) && !excluded.contains(upstream.id()));
  }

  private static @Nullable PromptPrefixes chain(ActiveRelay relay, @Nullable String model) {
    if (relay.service.engine() == null || model == null) {
      return null;
    }
    return PromptPrefixes.of(model, relay.request.prompt(), relay.request.promptTokens());
  }

  /** Asks a scheduler where the next attempt goes; returns whether there was one to ask. */
  boolean askScheduler(ActiveRelay relay, Instant now, Output output) {
    PlacementQuery query = query(relay, relay.modelName(), relay.tried);
    return schedulers.ask(relay, query, false, now, output);
  }

  /** Asks a scheduler where a larger model would answer; returns whether there was one to ask. */
  boolean askSchedulerForLarger(ActiveRelay relay, int model, Instant now, Output output) {
    PlacementQuery query = query(relay, relay.route.models().get(model), triedAndPresent(relay));
    return schedulers.ask(relay, query, true, now, output);
  }

  /** Gives a place back that a scheduler has given and that isn't used. */
  void giveBack(@Nullable SchedulerGrant grant, Output output) {
    if (grant != null) {
      schedulers.reportProgress(grant, AttemptProgress.ENDED, 0, output);
    }
  }

  /** Sends an attempt that this entry has placed itself. */
  void send(ActiveRelay relay, Placement placement, Instant now, Output output) {
    send(relay, placement, null, now, output);
  }

  /**
   * Sends an attempt.
   *
   * @param relay the request
   * @param placement where it goes
   * @param grant the scheduler that has chosen that, or null
   * @param now the present time
   * @param output takes what is to be done
   */
  void send(
      ActiveRelay relay,
      Placement placement,
      @Nullable SchedulerGrant grant,
      Instant now,
      Output output) {
    relay.attempt++;
    relay.sent++;
    relay.placement = placement;
    relay.grant = grant;
    relay.sentAt = now;
    relay.waitingMillis = placement.workMillis();
    TrackedUpstream track = placement.upstream();
    track.recordSent(placement.workMillis(), now);
    if (grant == null) {
      picker.recordSent(relay.service, placement, now);
    }
    PromptPrefixes chain = placement.prefixes();
    if (chain != null) {
      track.prefixCache().recordSent(chain, (double) placement.newTokens() * view.entries());
      prompts.recordSent(track.instance().id(), chain, now);
    }
    long left = Duration.between(now, relay.deadline).toMillis();
    output.effect(
        new RelayEffect.SendAttempt(
            relay.request.number(), relay.attempt, target(relay, placement, left)));
    trace.sent(relay, placement, now, output);
  }

  private AttemptTarget target(ActiveRelay relay, Placement placement, long left) {
    RelayTeam team = relay.team;
    int connections = (int) (relay.service.maxConnections() * CONNECTION_SHARE / view.entries());
    return new AttemptTarget(
        placement.upstream().instance(),
        Math.max(1, connections),
        team == null ? null : team.name(),
        relay.model < 0 ? null : relay.modelName(),
        relay.service.engine() == null ? null : Urgency.of(relay, placement),
        left,
        relay.streams(),
        relay.lastEventId,
        relay.forwarding,
        relay.route.kind() == RouteKind.NON_IDEMPOTENT,
        relay.route.retryable() ? (int) (relay.route.pauseMillis() * SILENCE_SHARE) : 0);
  }

  /** Takes note of the first byte of the answer to the attempt that is under way. */
  void answered(ActiveRelay relay, Instant now, Output output) {
    Placement placement = relay.placement;
    if (placement == null) {
      return;
    }
    placement.upstream().recordBegun(relay.waitingMillis);
    relay.waitingMillis = 0;
    double millis = Duration.between(relay.sentAt, now).toMillis();
    picker.recordFirstByte(relay.service, relay.modelName(), placement, millis, now);
    if (relay.grant != null) {
      ReportedLimit named = placement.upstream().rate().toReport(now);
      schedulers.reportProgress(relay.grant, AttemptProgress.BEGUN, (long) millis, named, output);
    }
  }

  /**
   * Takes note that the upstream of the attempt that is under way failed it.
   *
   * @param relay the request
   * @param how what the upstream did
   * @param now the present time
   * @param output takes what is to be done
   */
  void failed(ActiveRelay relay, AttemptProgress how, Instant now, Output output) {
    TrackedUpstream track = relay.upstream();
    if (track == null) {
      return;
    }
    boolean gone =
        how == AttemptProgress.UNREACHABLE
            || how == AttemptProgress.SILENT && track.isSilentSince(relay.sentAt);
    track.recordFailure(gone, now);
    if (relay.grant != null) {
      schedulers.reportProgress(relay.grant, how, 0, track.rate().toReport(now), output);
      relay.grant = null;
    }
  }

  /** Ends the attempt that is under way, if there is one, so that its upstream stops. */
  void drop(ActiveRelay relay, Output output) {
    if (relay.placement != null) {
      output.effect(new RelayEffect.DropAttempt(relay.request.number(), relay.attempt));
    }
    release(relay, output);
  }

  /** Takes note that the attempt that was under way is over, and any question with it. */
  void release(ActiveRelay relay, Output output) {
    schedulers.cancel(relay);
    giveBack(relay.grant, output);
    relay.grant = null;
    TrackedUpstream track = relay.upstream();
    if (track != null) {
      track.recordEnded(relay.waitingMillis);
      relay.tried.add(track.instance().id());
      relay.placement = null;
      relay.waitingMillis = 0;
    }
  }
}
