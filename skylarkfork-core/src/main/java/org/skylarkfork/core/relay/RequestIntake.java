package org.skylarkfork.core.relay;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.Output;

/** Takes requests in: those that can be served now, and later those that had to wait for that. */
final class RequestIntake {

  private final RelayView view;
  private final RequestAdmission admission;
  private final ModelPolicy models;
  private final RequestCompleter endings;
  private final UniformRandomProvider random;
  private final PendingRequests held = new PendingRequests();

  RequestIntake(
      RelayView view,
      RequestAdmission admission,
      ModelPolicy models,
      RequestCompleter endings,
      long seed) {
    this.view = view;
    this.admission = admission;
    this.models = models;
    this.endings = endings;
    this.random = RandomSource.XO_SHI_RO_256_PP.create(seed);
  }

  /** Returns the work that a request means now, or null if it waits or was refused. */
  @Nullable ActiveRelay arrived(RelayRequest request, Instant now, Output output) {
    Refusal refusal = admission.refusal(request, now);
    boolean starting = !view.configured() || !view.settled();
    boolean waits = refusal == Refusal.NOT_SERVING && held.hold(request, starting, now);
    return waits ? null : taken(request, refusal, now, now, output);
  }

  /** Returns the work of requests that need not wait any longer; others may be refused. */
  List<ActiveRelay> released(Instant now, Output output) {
    List<ActiveRelay> released = new ArrayList<>();
    for (PendingRequest waited :
        held.release(request -> admission.refusal(request, now) != Refusal.NOT_SERVING, now)) {
      Refusal refusal = admission.refusal(waited.request(), now);
      ActiveRelay relay = taken(waited.request(), refusal, waited.arrivedAt(), now, output);
      if (relay != null) {
        released.add(relay);
      }
    }
    return released;
  }

  /** Forgets a request that waits; returns whether it did. */
  boolean forget(long request) {
    return held.forget(request);
  }

  private @Nullable ActiveRelay taken(
      RelayRequest request,
      @Nullable Refusal refusal,
      Instant arrivedAt,
      Instant now,
      Output output) {
    if (refusal != null) {
      endings.refuse(request, refusal, now, output);
      return null;
    }
    RouteTable table = view.table();
    RelayRoute route = table.route(request.host(), request.path());
    if (route == null) {
      throw new IllegalStateException("a request without refusal has a route");
    }
    long wait =
        request.waitMillis() > 0
            ? Math.min(request.waitMillis(), route.timeoutMillis())
            : route.timeoutMillis();
    RelayTeam team = route.isPublic() ? null : table.team(request.key());
    RelayService service = service(table, route);
    ActiveRelay relay =
        new ActiveRelay(request, route, service, team, arrivedAt, arrivedAt.plusMillis(wait));
    if (!route.models().isEmpty()) {
      relay.model = models.firstModel(route, request);
    }
    return relay;
  }

  private RelayService service(RouteTable table, RelayRoute route) {
    // Two large weights add up beyond an int; each entry that drew from that would halt in its
    // turn.
    long total = route.services().stream().mapToLong(WeightedService::weight).sum();
    long drawn = random.nextLong(total);
    for (WeightedService target : route.services()) {
      drawn -= target.weight();
      RelayService service = table.service(target.service());
      if (drawn < 0 && service != null) {
        return service;
      }
    }
    throw new IllegalStateException("a valid route has a service");
  }
}
