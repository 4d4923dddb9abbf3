package org.skylarkfork.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.effect.TraceEffect;
import org.skylarkfork.core.message.RelayMessage.AttemptProgress;
import org.skylarkfork.core.message.SlotMessage.SlotAnswer;
import org.skylarkfork.core.message.SlotMessage.SlotProgress;
import org.skylarkfork.core.waiting.SlotClient;
import org.skylarkfork.core.waiting.SlotDecision;
import org.skylarkfork.core.waiting.SlotRequest;

/** Asks the shared queue of a service for slots on behalf of requests. */
final class CallSlots {

  /** Wait from which on a granted slot is logged, in milliseconds; a round trip takes less. */
  private static final long MIN_LOGGED_MILLIS = 20;

  private final RelayView view;
  private final String zone;
  private final UpstreamPicker picker;
  private final boolean enabled;
  private final SlotClient client = new SlotClient();

  CallSlots(RelayView view, String zone, UpstreamPicker picker, boolean enabled) {
    this.view = view;
    this.zone = zone;
    this.picker = picker;
    this.enabled = enabled;
  }

  /**
   * Asks for a slot for the next attempt of a request; first attempts and retries alike.
   *
   * @return whether a scheduler was asked; if not, the entry places the attempt itself
   */
  boolean ask(ActiveRelay relay, PlacementQuery query, Instant now, Output output) {
    client.release(relay.request.number(), output);
    if (!enabled || relay.streams() || relay.forwarding || !isShared(relay.service)) {
      return false;
    }
    Set<String> versions = new LinkedHashSet<>();
    List<String> unusable = new ArrayList<>();
    for (TrackedUpstream upstream : view.upstreams(relay.service.name())) {
      if (picker.placeAt(query, upstream, now) == null) {
        unusable.add(upstream.instance().id());
      } else {
        versions.add(upstream.instance().version());
      }
    }
    return !versions.isEmpty()
        && client.ask(
            message(relay, List.copyOf(versions), unusable, now), view.schedulers(), now, output);
  }

  /**
   * Returns whether entries share a queue of the service: it has no engines, and fewer slots than
   * there are entries, so that each entry sees too little of its load.
   */
  private boolean isShared(RelayService service) {
    if (service.engine() != null || view.schedulers().isEmpty()) {
      return false;
    }
    int slots = 0;
    for (TrackedUpstream upstream : view.upstreams(service.name())) {
      if (upstream.instance().slots() <= 0) {
        return false;
      }
      slots += upstream.instance().slots();
    }
    return slots > 0 && slots < view.entries();
  }

  private SlotRequest message(
      ActiveRelay relay, List<String> versions, List<String> excluded, Instant now) {
    RelayTeam team = relay.team;
    Integer priority = team == null ? null : team.priority();
    long leftMillis = Math.max(0, Duration.between(now, relay.deadline).toMillis());
    int objective = relay.route.objectiveMillis();
    long objectiveMillis = leftMillis;
    if (objective > 0) {
      long elapsed = Duration.between(relay.arrivedAt, now).toMillis();
      objectiveMillis = Math.max(0, Math.min(leftMillis, objective - elapsed));
    }
    return new SlotRequest(
        relay.request.number(),
        relay.service.name(),
        zone,
        team == null ? "" : team.name(),
        priority == null ? relay.route.priority() : priority,
        (int) objectiveMillis,
        (int) leftMillis,
        relay.request.contentHash(),
        versions,
        excluded);
  }

  @Nullable SlotDecision onAnswer(String from, SlotAnswer answer, Instant now, Output output) {
    return client.onAnswer(from, answer, now, output);
  }

  List<SlotDecision> takeTimedOut(Instant now, Output output) {
    return client.takeTimedOut(now, output);
  }

  /**
   * Returns the placement at a granted upstream, or null if this entry must not use it: it has
   * left, its zone is evacuated, or a backoff or a rate limit of this entry forbids it.
   */
  @Nullable Placement placement(PlacementQuery query, @Nullable String granted, Instant now) {
    for (TrackedUpstream upstream : view.upstreams(query.service().name())) {
      if (upstream.instance().id().equals(granted)) {
        return picker.placeAt(query, upstream, now);
      }
    }
    return null;
  }

  /** Records the first byte of an answer. */
  void recordFirstByte(ActiveRelay relay, long millis) {
    client.recordFirstByte(relay.request.number(), millis);
  }

  /** Reports that an upstream refused the attempt in progress because it is full. */
  void reportFull(ActiveRelay relay, Duration backoff, Output output) {
    client.reportFailure(relay.request.number(), SlotProgress.FULL, backoff, output);
  }

  /** Reports how the attempt in progress has failed; does nothing if it holds no slot. */
  void reportFailure(ActiveRelay relay, AttemptProgress progress, Duration backoff, Output output) {
    SlotProgress slotProgress =
        switch (progress) {
          case UNREACHABLE -> SlotProgress.UNREACHABLE;
          case SILENT -> SlotProgress.SILENT;
          case BEGUN, ENDED, FAILED ->
              relay.backoffRequested ? SlotProgress.FULL : SlotProgress.FAILED;
        };
    client.reportFailure(relay.request.number(), slotProgress, backoff, output);
  }

  /** Ends the ask or slot of a request, if it has one. */
  void release(ActiveRelay relay, Output output) {
    client.release(relay.request.number(), output);
  }

  /** Logs a decision, unless it is a slot that was granted at once. */
  void log(ActiveRelay relay, SlotDecision decision, Output output) {
    boolean isGrant = decision.action() == SlotDecision.Action.USE_SLOT;
    if (isGrant && decision.waitedMillis() < MIN_LOGGED_MILLIS) {
      return;
    }
    output.effect(
        new TraceEffect.LogLine(
            false,
            "slots",
            "event=slot_"
                + (isGrant ? "granted" : "not_granted")
                + " id="
                + relay.request.id()
                + " action="
                + decision.action()
                + " upstream="
                + decision.upstream()
                + " scheduler="
                + decision.scheduler()
                + " waited_ms="
                + decision.waitedMillis()));
  }
}
