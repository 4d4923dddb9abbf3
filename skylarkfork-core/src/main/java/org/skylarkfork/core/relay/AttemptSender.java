package org.skylarkfork.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.answer.ConnectionUse;
import org.skylarkfork.core.effect.PeerEffect.SendToPeer;
import org.skylarkfork.core.effect.RelayEffect;
import org.skylarkfork.core.message.RelayMessage.AttemptProgress;
import org.skylarkfork.core.message.RelayMessage.ForwardedBackoff;
import org.skylarkfork.core.placement.PromptPrefixes;
import org.skylarkfork.core.reachability.PathState;

/** Places and sends attempts to upstreams and tracks the attempts in progress. */
final class AttemptSender {

  /**
   * Fraction of the route's pause objective after which a silent stream is reported for failover;
   * the rest is left for the other upstream to begin.
   */
  private static final double SILENCE_FRACTION = 0.6;

  /** Fraction of an upstream's connection limit that all entries together may use. */
  private static final double CONNECTION_FRACTION = 0.8;

  /** Time without any answer of a service after which the links to it are probed. */
  private static final Duration UNANSWERED_DURATION = Duration.ofMillis(600);

  private final RelayView view;
  private final String zone;
  private final UpstreamPicker picker;
  private final SchedulerClient schedulers;
  private final CallSlots slots;
  private final VersionSelector versions;
  private final VersionStatistics counts;
  private final SentPrefixes prompts;
  private final RequestTrace trace;

  AttemptSender(
      RelayView view,
      String zone,
      UpstreamPicker picker,
      SchedulerClient schedulers,
      CallSlots slots,
      VersionSelector versions,
      VersionStatistics counts,
      SentPrefixes prompts,
      RequestTrace trace) {
    this.view = view;
    this.zone = zone;
    this.picker = picker;
    this.schedulers = schedulers;
    this.slots = slots;
    this.versions = versions;
    this.counts = counts;
    this.prompts = prompts;
    this.trace = trace;
  }

  /**
   * Returns the placement of the next attempt, or null if no upstream accepts it. Prefers upstreams
   * to which the request hasn't been sent yet, then those whose answers to it failed.
   *
   * <p>If all others have left, the last upstream of a service answers most retries successfully;
   * without a second attempt there, its first failure would reach the caller.
   */
  @Nullable Placement place(ActiveRelay relay, Instant now) {
    Placement untried = pick(relay, relay.modelName(), relay.triedUpstreams, now);
    return untried == null && mayRevisit(relay)
        ? pick(relay, relay.modelName(), relay.refusingUpstreams, now)
        : untried;
  }

  private static boolean mayRevisit(ActiveRelay relay) {
    return relay.route.retryable() && !relay.forwarding;
  }

  /**
   * Asks the shared queue of the request's service for a slot at the upstreams that {@link #place}
   * would consider; returns whether a scheduler was asked.
   */
  boolean askForSlot(ActiveRelay relay, Instant now, Output output) {
    PlacementQuery untried = query(relay, relay.modelName(), relay.triedUpstreams);
    if (slots.ask(relay, untried, now, output)) {
      return true;
    }
    return !relay.triedUpstreams.isEmpty()
        && mayRevisit(relay)
        && slots.ask(relay, revisit(relay), now, output);
  }

  private PlacementQuery revisit(ActiveRelay relay) {
    return query(relay, relay.modelName(), relay.refusingUpstreams);
  }

  /**
   * Returns the placement at the upstream of a granted slot; gives the slot back and returns null
   * if this entry must not use the upstream.
   */
  @Nullable Placement placeInSlot(
      ActiveRelay relay, @Nullable String upstream, Instant now, Output output) {
    Placement placement = slots.placement(revisit(relay), upstream, now);
    if (placement == null) {
      slots.release(relay, output);
    }
    return placement;
  }

  /** Reports to the shared queue that the upstream of the attempt in progress is full. */
  void reportFull(ActiveRelay relay, Instant now, Output output) {
    TrackedUpstream upstream = relay.upstream();
    if (upstream != null) {
      slots.reportFull(relay, requestedBackoff(relay, upstream, now), output);
    }
  }

  /**
   * Notifies the entry that opened the connection that the upstream asked for a backoff over it.
   */
  void reportForwardedBackoff(ActiveRelay relay, Instant now, Output output) {
    TrackedUpstream upstream = relay.upstream();
    if (relay.backoffRequested && relay.forwarder != null && upstream != null) {
      int backoffMillis = (int) upstream.backoff().remaining(now).toMillis();
      output.effect(
          new SendToPeer(
              relay.forwarder, new ForwardedBackoff(upstream.instance().run(), backoffMillis)));
    }
  }

  private static Duration requestedBackoff(
      ActiveRelay relay, TrackedUpstream upstream, Instant now) {
    return relay.backoffRequested ? upstream.backoff().remaining(now) : Duration.ZERO;
  }

  /** Returns whether the request is quarantined because it crashes the upstreams that run it. */
  boolean isQuarantined(ActiveRelay relay) {
    return view.quarantinedKey(relay.keys) != null;
  }

  /**
   * Returns whether no upstream of the request's service accepts new work and at least one of them
   * is in an evacuated zone.
   */
  boolean isEvacuated(ActiveRelay relay) {
    List<TrackedUpstream> all = view.upstreams(relay.service.name());
    return all.stream().anyMatch(upstream -> upstream.condition() == UpstreamCondition.EVACUATED)
        && all.stream().allMatch(upstream -> upstream.condition().rejectsNewWork());
  }

  /** Returns the number of upstreams of the request's service that asked for a backoff. */
  long backedOffUpstreams(ActiveRelay relay, Instant now) {
    return view.upstreams(relay.service.name()).stream()
        .filter(upstream -> upstream.backoff().isActive(now))
        .count();
  }

  /**
   * Returns the time until an upstream accepts the request that none accepts now, or zero if
   * neither rate limits nor requested backoffs are the reason. The caller's next request may go to
   * the upstreams that this one has tried.
   */
  Duration retryDelay(ActiveRelay relay, Instant now) {
    return picker.timeUntilAccepted(query(relay, relay.modelName(), Set.of()), now);
  }

  /**
   * Returns the placement of an attempt with another of the route's models, or null if no upstream
   * accepts it.
   */
  @Nullable Placement placeEscalation(ActiveRelay relay, int model, Instant now) {
    return pick(relay, relay.route.models().get(model), triedAndCurrent(relay), now);
  }

  /**
   * Returns the placement of an attempt that would replace the one in progress, or null if no other
   * upstream accepts it.
   */
  @Nullable Placement placeFailover(ActiveRelay relay, Instant now) {
    return pick(relay, relay.modelName(), triedAndCurrent(relay), now);
  }

  private static Set<String> triedAndCurrent(ActiveRelay relay) {
    Set<String> excluded = new HashSet<>(relay.triedUpstreams);
    TrackedUpstream current = relay.upstream();
    if (current != null) {
      excluded.add(current.instance().id());
    }
    return excluded;
  }

  private @Nullable Placement pick(
      ActiveRelay relay, @Nullable String model, Set<String> excluded, Instant now) {
    return picker.pick(query(relay, model, excluded), now);
  }

  private PlacementQuery query(ActiveRelay relay, @Nullable String model, Set<String> excluded) {
    String version = relay.version;
    VersionSelector.VersionFilter allowed =
        version == null ? versions.filterFor(relay.service.name(), relay.request) : version::equals;
    return new PlacementQuery(
        relay.service,
        model,
        prefixes(relay, model),
        relay.route.objectiveMillis(),
        zone,
        upstream -> allowed.allows(upstream.version()) && !excluded.contains(upstream.id()));
  }

  private static @Nullable PromptPrefixes prefixes(ActiveRelay relay, @Nullable String model) {
    if (relay.service.engine() == null || model == null) {
      return null;
    }
    return PromptPrefixes.of(model, relay.request.prompt(), relay.request.promptTokens());
  }

  /**
   * Queries a scheduler for the placement of the next attempt; returns whether a scheduler was
   * available.
   */
  boolean queryScheduler(ActiveRelay relay, Instant now, Output output) {
    PlacementQuery query = query(relay, relay.modelName(), relay.triedUpstreams);
    return schedulers.sendQuery(relay, query, false, now, output);
  }

  /**
   * Queries a scheduler for the placement of an attempt with a larger model; returns whether a
   * scheduler was available.
   */
  boolean querySchedulerForEscalation(ActiveRelay relay, int model, Instant now, Output output) {
    PlacementQuery query = query(relay, relay.route.models().get(model), triedAndCurrent(relay));
    return schedulers.sendQuery(relay, query, true, now, output);
  }

  /** Releases an unused grant at the scheduler that issued it; does nothing for null. */
  void releaseGrant(@Nullable SchedulerGrant grant, Output output) {
    if (grant != null) {
      schedulers.reportProgress(grant, AttemptProgress.ENDED, 0, output);
    }
  }

  /** Sends an attempt that this entry placed without a scheduler. */
  void send(ActiveRelay relay, Placement placement, Instant now, Output output) {
    send(relay, placement, null, now, output);
  }

  /**
   * Sends an attempt.
   *
   * @param relay the request
   * @param placement the upstream and the estimates for the attempt
   * @param grant grant of the scheduler that chose the placement, or null if this entry chose it
   * @param now the current time
   * @param output receives the resulting effects
   */
  void send(
      ActiveRelay relay,
      Placement placement,
      @Nullable SchedulerGrant grant,
      Instant now,
      Output output) {
    relay.attempt++;
    relay.sentAttempts++;
    relay.placement = placement;
    relay.grant = grant;
    relay.forwarder = view.paths().forwarder(relay.service.name(), now);
    relay.sentAt = now;
    relay.backoffRequested = false;
    relay.connectionUse = ConnectionUse.NONE;
    relay.pendingWorkMillis = placement.workMillis();
    TrackedUpstream upstream = placement.upstream();
    upstream.recordSent(placement.workMillis(), now);
    counts.recordSent(relay.request.number(), upstream.instance(), now);
    if (grant == null) {
      picker.recordSent(relay.service, placement, now);
    }
    PromptPrefixes prefixes = placement.prefixes();
    if (prefixes != null) {
      upstream.prefixCache().recordSent(prefixes, (double) placement.newTokens() * view.entries());
      prompts.recordSent(upstream.instance().id(), prefixes, now);
    }
    long remainingMillis = Duration.between(now, relay.deadline).toMillis();
    output.effect(
        new RelayEffect.SendAttempt(
            relay.request.number(), relay.attempt, target(relay, placement, remainingMillis)));
    trace.sent(relay, placement, now, output);
  }

  private AttemptTarget target(ActiveRelay relay, Placement placement, long remainingMillis) {
    RelayTeam team = relay.team;
    int connections = (int) (relay.service.maxConnections() * CONNECTION_FRACTION / view.entries());
    return new AttemptTarget(
        placement.upstream().instance(),
        Math.max(1, connections),
        team == null ? null : team.name(),
        relay.modelIndex < 0 ? null : relay.modelName(),
        relay.service.engine() == null ? null : Urgency.of(relay, placement),
        remainingMillis,
        relay.streams(),
        relay.lastEventId,
        relay.forwarding,
        relay.route.kind() == RouteKind.NON_IDEMPOTENT,
        relay.route.retryable() ? (int) (relay.route.pauseMillis() * SILENCE_FRACTION) : 0,
        relay.forwarder);
  }

  /** Records the first byte of the answer to the attempt in progress. */
  void recordFirstByte(ActiveRelay relay, Instant now, Output output) {
    Placement placement = relay.placement;
    if (placement == null) {
      return;
    }
    placement.upstream().recordBegun(relay.pendingWorkMillis);
    counts.recordFirstByte(relay.request.number());
    relay.pendingWorkMillis = 0;
    if (relay.forwarder == null) {
      view.paths().recordAnswer(relay.service.name(), now);
    }
    double millis = Duration.between(relay.sentAt, now).toMillis();
    picker.recordFirstByte(relay.service, relay.modelName(), placement, millis, now);
    slots.recordFirstByte(relay, (long) millis);
    if (relay.grant != null) {
      ReportedLimit named = placement.upstream().rate().toReport(now);
      schedulers.reportProgress(
          relay.grant, AttemptProgress.BEGUN, (long) millis, named, Duration.ZERO, output);
    }
  }

  /**
   * Records that the upstream failed the attempt in progress. A refusal that asks for a backoff is
   * no failure: the upstream has stated by itself when it accepts requests again. The scheduler is
   * notified, since the engine has fewer free slots than the scheduler assumes.
   *
   * @param relay the request
   * @param progress how the attempt failed
   * @param now the current time
   * @param output receives the resulting effects
   */
  void recordFailure(ActiveRelay relay, AttemptProgress progress, Instant now, Output output) {
    TrackedUpstream upstream = relay.upstream();
    if (upstream == null) {
      return;
    }
    boolean gone =
        progress == AttemptProgress.UNREACHABLE
            || progress == AttemptProgress.SILENT && upstream.isSilentSince(relay.sentAt);
    if (!relay.backoffRequested) {
      upstream.recordFailure(gone, now);
    }
    Duration backoff = requestedBackoff(relay, upstream, now);
    slots.reportFailure(relay, progress, backoff, output);
    if (relay.grant != null) {
      schedulers.reportProgress(
          relay.grant, progress, 0, upstream.rate().toReport(now), backoff, output);
      relay.grant = null;
    }
  }

  /**
   * Returns whether it isn't known yet if the links or the upstreams of the service have failed.
   */
  boolean isSuspected(ActiveRelay relay) {
    return view.paths().state(relay.service.name()) == PathState.SUSPECTED;
  }

  /** Returns whether the request's next attempt is sent through another entry. */
  boolean isForwarded(ActiveRelay relay, Instant now) {
    return view.paths().isForwarded(relay.service.name(), now);
  }

  /**
   * Reports an attempt without a first byte whose service has sent no answer for long; returns
   * whether the attempt is lost because this entry's links to the service are cut.
   */
  boolean checkUnanswered(ActiveRelay relay, Instant now) {
    boolean unanswered =
        relay.placement != null
            && !relay.forwarding
            && !now.isBefore(relay.sentAt.plus(UNANSWERED_DURATION));
    if (unanswered && relay.forwarder == null) {
      view.paths().recordUnanswered(relay.service.name(), relay.sentAt);
    }
    return unanswered && isOnCutLinks(relay);
  }

  /** Returns whether the attempt in progress was sent over links that are cut and silent. */
  boolean isOnCutLinks(ActiveRelay relay) {
    return relay.forwarder == null
        && view.paths().isSilentSince(relay.service.name(), relay.sentAt);
  }

  /** Cancels the attempt in progress, if there is one, so that its upstream stops working on it. */
  void cancelAttempt(ActiveRelay relay, Output output) {
    if (relay.placement != null) {
      output.effect(new RelayEffect.DropAttempt(relay.request.number(), relay.attempt));
    }
    releaseAttempt(relay, output);
  }

  /**
   * Releases the resources of the attempt in progress: its outstanding placement query, its grant
   * and its share of the upstream's load.
   */
  void releaseAttempt(ActiveRelay relay, Output output) {
    schedulers.cancel(relay);
    slots.release(relay, output);
    releaseGrant(relay.grant, output);
    relay.grant = null;
    TrackedUpstream upstream = relay.upstream();
    if (upstream != null) {
      counts.recordEnded(relay.request.number());
      upstream.recordEnded(relay.pendingWorkMillis);
      relay.triedUpstreams.add(upstream.instance().id());
      relay.placement = null;
      relay.pendingWorkMillis = 0;
    }
  }
}
