package org.skylarkfork.core.relay;

import java.time.Instant;
import java.util.HashSet;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.answer.ConnectionUse;
import org.skylarkfork.core.crash.RequestKeys;

/** A caller's request in progress at an entry, with the state of its attempts. */
final class ActiveRelay {

  final RelayRequest request;
  final RelayRoute route;
  final RelayService service;
  final @Nullable RelayTeam team;

  /** Identify the request's team, content and parts of its prompt, as when it is sent again. */
  final RequestKeys keys;

  final Instant arrivedAt;
  final Instant deadline;

  /** Ids of the upstreams to which the request has been sent. */
  final Set<String> triedUpstreams = new HashSet<>();

  /** Ids of the upstreams that rejected the request unexecuted or were unreachable. */
  final Set<String> refusingUpstreams = new HashSet<>();

  /** Index of the requested model in the route's list, or -1 if the caller named the model. */
  int modelIndex = -1;

  /** Number of the newest attempt, 0 before the first. */
  int attempt;

  /** Number of attempts that reached, or may have reached, an upstream. */
  int sentAttempts;

  /** Ids of the upstreams that this entry couldn't connect to. */
  final Set<String> unreachedUpstreams = new HashSet<>();

  /** Number of attempts that failed before anything was sent. */
  int unsentAttempts;

  /** Whether the request has failed over from a silent upstream, which happens at most once. */
  boolean failedOver;

  /** Whether an upstream may have run the request. */
  boolean mayHaveRun;

  /** Whether the upstream of the newest attempt has asked this entry for a backoff. */
  boolean backoffRequested;

  /** Whether the newest answer has begun and reports success. */
  boolean answeredWithSuccess;

  /** Whether the entry has begun to forward an answer to the caller. */
  boolean forwarding;

  /** Whether another run can go on after the events that were forwarded to the caller. */
  boolean positionKnown = true;

  /** Placement of the attempt in progress, or null if there is none. */
  @Nullable Placement placement;

  /** Entry that opened the connection of the newest attempt, or null if this one did. */
  @Nullable String forwarder;

  /** Use of the newest attempt's connection up to its answer, as far as it is known. */
  ConnectionUse connectionUse = ConnectionUse.NONE;

  /** Grant of the scheduler that placed the newest attempt, or null if this entry placed it. */
  @Nullable SchedulerGrant grant;

  /** Number of the outstanding placement query to a scheduler, or 0 if there is none. */
  long placementQuery;

  /**
   * Work that the upstream still has to do before the first byte of the newest attempt's answer, in
   * milliseconds.
   */
  double pendingWorkMillis;

  Instant sentAt = Instant.EPOCH;

  /** When the newest answer began. */
  Instant answeredAt = Instant.EPOCH;

  /**
   * Confidence that the answering model reports for its answer, from 0 to 100, or null if unknown.
   */
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
    this.keys = request.keysOf(team);
    this.arrivedAt = arrivedAt;
    this.deadline = deadline;
    this.lastEventId = request.lastEventId();
  }

  /** Returns the upstream of the attempt in progress, or null if there is none. */
  @Nullable TrackedUpstream upstream() {
    Placement placed = placement;
    return placed == null ? null : placed.upstream();
  }

  /** Returns the name of the requested model, or null if there is none. */
  @Nullable String modelName() {
    return modelIndex < 0 ? request.model() : route.models().get(modelIndex);
  }

  /**
   * Returns whether another attempt can complete the caller's answer: none of it was forwarded, or
   * the route's streams may be resumed and the place is known.
   */
  boolean isContinuable() {
    return !forwarding || route.resumable() && positionKnown;
  }

  boolean streams() {
    return route.kind() == RouteKind.STREAMING;
  }
}
