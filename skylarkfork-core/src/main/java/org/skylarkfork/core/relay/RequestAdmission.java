package org.skylarkfork.core.relay;

import java.time.Instant;
import org.jspecify.annotations.Nullable;

/** Decides whether an entry may take a request at all. */
final class RequestAdmission {

  private final RelayView view;
  private final ShutdownPolicy stopPlan;

  RequestAdmission(RelayView view, ShutdownPolicy stopPlan) {
    this.view = view;
    this.stopPlan = stopPlan;
  }

  /**
   * Returns why a request can't be taken now, or null if it has a route and a service.
   *
   * @param request the request
   * @param now the present time
   */
  @Nullable Refusal refusal(RelayRequest request, Instant now) {
    if (!view.configured()) {
      return Refusal.NOT_SERVING;
    }
    RouteTable table = view.table();
    RelayRoute route = table.route(request.host(), request.path());
    boolean proven = view.proven(now);
    if (route == null) {
      return proven ? Refusal.NO_ROUTE : Refusal.NOT_SERVING;
    }
    if (!stopPlan.takes(route, now)) {
      return Refusal.STOPPING;
    }
    if (!view.settled() && !hasUpstream(route)) {
      return Refusal.NOT_SERVING;
    }
    if (route.isPublic() || !table.requiresKeys()) {
      return quarantined(null, request);
    }
    if (!proven) {
      return Refusal.NOT_SERVING;
    }
    RelayTeam team = table.team(request.key());
    return team == null ? Refusal.UNKNOWN_KEY : quarantined(team, request);
  }

  private @Nullable Refusal quarantined(@Nullable RelayTeam team, RelayRequest request) {
    return view.isQuarantined(request.keyOf(team)) ? Refusal.QUARANTINED : null;
  }

  /**
   * Returns whether an upstream of a route is known.
   *
   * <p>After a crash of everything a new leader hears of upstreams one by one, within the time
   * between two of their heartbeats. A request that comes earlier waits for the first of them; sent
   * back, it would use up its caller's only other try.
   */
  private boolean hasUpstream(RelayRoute route) {
    return route.services().stream()
        .anyMatch(target -> !view.upstreams(target.service()).isEmpty());
  }
}
