package org.skylarkfork.core.relay;

import java.time.Instant;
import java.util.HashSet;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** A request that an entry works on. */
final class ActiveRelay {

  final RelayRequest request;
  final RelayRoute route;
  final RelayService service;
  final @Nullable RelayTeam team;
  final Instant arrivedAt;
  final Instant deadline;
  final Set<String> tried = new HashSet<>();

  /** Place of the model that is asked, or -1 if the caller named it. */
  int model = -1;

  /** Number of the newest attempt, 0 before the first. */
  int attempt;

  /** Attempts that reached an upstream or may have. */
  int sent;

  /** Attempts that failed before anything was sent. */
  int unsent;

  /** Whether it was taken from a silent upstream once, which is done once only. */
  boolean movedOn;

  /** Whether an upstream may have run the request. */
  boolean mayHaveRun;

  /** Whether the caller has been given the beginning of an answer. */
  boolean passing;

  @Nullable UpstreamTrack upstream;
  Instant sentAt = Instant.EPOCH;
  double workMillis;
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
    this.arrivedAt = arrivedAt;
    this.deadline = deadline;
    this.lastEventId = request.lastEventId();
  }

  boolean streams() {
    return route.kind() == RouteKind.STREAMING;
  }
}
