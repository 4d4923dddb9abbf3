package org.skylarkfork.core.relay;

import java.time.Duration;
import java.time.Instant;
import org.jspecify.annotations.Nullable;

/** Decides whether an entry admits a request. */
final class RequestAdmission {

  private final RelayView view;
  private final ShutdownPolicy shutdownPolicy;

  RequestAdmission(RelayView view, ShutdownPolicy shutdownPolicy) {
    this.view = view;
    this.shutdownPolicy = shutdownPolicy;
  }

  /**
   * Returns the reason to reject a request now, or null if the request is admitted.
   *
   * @param request the request
   * @param now the current time
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
    Duration timeout = Duration.ofMillis(request.allowedMillis(route.timeoutMillis()));
    if (!shutdownPolicy.accepts(timeout, now)) {
      return Refusal.STOPPING;
    }
    if (!view.settled() && !hasUpstream(route)) {
      return Refusal.NOT_SERVING;
    }
    if (route.isPublic() || !table.requiresKeys()) {
      return quarantineRefusal(null, request);
    }
    if (!proven) {
      return Refusal.NOT_SERVING;
    }
    RelayTeam team = table.team(request.key());
    return team == null ? Refusal.UNKNOWN_KEY : quarantineRefusal(team, request);
  }

  private @Nullable Refusal quarantineRefusal(@Nullable RelayTeam team, RelayRequest request) {
    return view.quarantinedKey(request.keysOf(team)) == null ? null : Refusal.QUARANTINED;
  }

  /**
   * Returns whether an upstream of a route is known.
   *
   * <p>After a full outage a new leader learns of upstreams one by one, within one heartbeat
   * interval. A request that arrives earlier waits for the first of them; rejecting it would use up
   * its caller's only retry.
   */
  private boolean hasUpstream(RelayRoute route) {
    return route.services().stream()
        .anyMatch(target -> !view.upstreams(target.service()).isEmpty());
  }
}
