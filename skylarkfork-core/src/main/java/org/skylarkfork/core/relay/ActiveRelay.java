package org.skylarkfork.core.relay;

import java.time.Instant;
import java.util.HashSet;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.crash.RequestKey;

/** A request that an entry works on. */
final class ActiveRelay {

  final RelayRequest request;
  final RelayRoute route;
  final RelayService service;
  final @Nullable RelayTeam team;

  /** What it has in common with the same request sent again. */
  final RequestKey key;

  final Instant arrivedAt;
  final Instant deadline;

  /** Upstreams that had the request. */
  final Set<String> tried = new HashSet<>();

  /** Upstreams that did not take the request or could not be reached. */
  final Set<String> refusedBy = new HashSet<>();

  /** Place of the model that is asked, or -1 if the caller named it. */
  int model = -1;

  /** Number of the newest attempt, 0 before the first. */
  int attempt;

  /** Attempts that reached an upstream or may have. */
  int sent;

  /** Attempts that failed before anything was sent. */
  int unsent;

  /** Whether it was taken from a silent upstream once, which is done once only. */
  boolean failedOver;

  /** Whether an upstream may have run the request. */
  boolean mayHaveRun;

  /** Whether the caller has been given the beginning of an answer. */
  boolean forwarding;

  /** Where the newest attempt is under way, or null. */
  @Nullable Placement placement;

  /** The scheduler that placed the newest attempt, or null if this entry did. */
  @Nullable SchedulerGrant grant;

  /** Number of the question to a scheduler that is open, or 0. */
  long placementQuery;

  /** Reading that the newest attempt still waits for, in milliseconds of its upstream. */
  double waitingMillis;

  Instant sentAt = Instant.EPOCH;

  /** When the newest answer began. */
  Instant answeredAt = Instant.EPOCH;

  /** What the model that answers thinks of its answer, from 0 to 100, or null if unknown. */
  @Nullable Integer confidence;

  @Nullable String lastEventId;
  @Nullable String version;

  ActiveRelay(
      RelayRequest request,
      RelayRoute route,
      RelayService service,
      @Nullable RelayTeam team,
      Instant arrivedAt,
      Instant deadline) {
    this.request = request;
    this.route = route;
    this.service = service;
    this.team = team;
    this.key = request.keyOf(team);
    this.arrivedAt = arrivedAt;
    this.deadline = deadline;
    this.lastEventId = request.lastEventId();
  }

  /** Returns the upstream of the attempt that is under way, or null. */
  @Nullable TrackedUpstream upstream() {
    Placement placed = placement;
    return placed == null ? null : placed.upstream();
  }

  /** Returns the name of the model that is asked, or null if there is none. */
  @Nullable String modelName() {
    return model < 0 ? request.model() : route.models().get(model);
  }

  boolean streams() {
    return route.kind() == RouteKind.STREAMING;
  }
}
