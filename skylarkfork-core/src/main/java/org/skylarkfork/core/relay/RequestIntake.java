package org.skylarkfork.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.recovery.PendingRequest;
import org.skylarkfork.core.recovery.QueueBounds;
import org.skylarkfork.core.recovery.Release;
import org.skylarkfork.core.recovery.ReleaseQueue;
import org.skylarkfork.core.recovery.RequestNeeds;

/**
 * Admits or refuses arriving requests, or keeps them pending while the entry isn't ready to serve.
 */
final class RequestIntake {

  /** Time that a caller is assumed to wait if neither it nor a route says so, in milliseconds. */
  private static final long UNKNOWN_TIMEOUT_MILLIS = 30_000;

  private final RelayView view;
  private final RequestAdmission admission;
  private final ModelPolicy models;
  private final RequestCompleter completer;
  private final RequestTrace trace;
  private final UniformRandomProvider random;
  private final ReleaseQueue<RelayRequest> pending = new ReleaseQueue<>(QueueBounds.DEFAULT);

  RequestIntake(
      RelayView view,
      RequestAdmission admission,
      ModelPolicy models,
      RequestCompleter completer,
      RequestTrace trace,
      long seed) {
    this.view = view;
    this.admission = admission;
    this.models = models;
    this.completer = completer;
    this.trace = trace;
    this.random = RandomSource.XO_SHI_RO_256_PP.create(seed);
  }

  /** Returns the admitted request, or null if it is pending or was refused. */
  @Nullable ActiveRelay onArrival(RelayRequest request, Instant now, Output output) {
    Refusal refusal = admission.refusal(request, now);
    boolean starting = !view.configured() || !view.settled();
    boolean isPending =
        refusal == Refusal.NOT_SERVING
            && pending.add(
                new PendingRequest<>(
                    request,
                    request.number(),
                    request.bodyBytes(),
                    request.waitMillis(),
                    starting,
                    now));
    return isPending ? null : admit(request, refusal, now, now, output);
  }

  /**
   * Returns the pending requests that are now admitted, in the order in which they are to be sent;
   * refuses those whose wait has expired or that are rejected.
   */
  List<ActiveRelay> releasePending(Instant now, Output output) {
    Release<RelayRequest> release =
        pending.release(
            request -> admission.refusal(request, now) != Refusal.NOT_SERVING, this::needs, now);
    for (PendingRequest<RelayRequest> expired : release.expired()) {
      RelayRequest request = expired.request();
      RelayRoute route = view.table().route(request.host(), request.path());
      refuse(request, Refusal.NOT_SERVING, route, expired.arrivedAt(), now, output);
    }
    trace.released(release, now, output);
    List<ActiveRelay> released = new ArrayList<>();
    for (PendingRequest<RelayRequest> servable : release.servable()) {
      Refusal refusal = admission.refusal(servable.request(), now);
      ActiveRelay relay = admit(servable.request(), refusal, servable.arrivedAt(), now, output);
      if (relay != null) {
        released.add(relay);
      }
    }
    return released;
  }

  /** Returns the number of pending requests. */
  int pendingCount() {
    return pending.count();
  }

  private RequestNeeds needs(RelayRequest request) {
    RouteTable table = view.table();
    RelayRoute route = view.configured() ? table.route(request.host(), request.path()) : null;
    if (route == null) {
      return RequestNeeds.UNKNOWN;
    }
    RelayTeam team = route.isPublic() ? null : table.team(request.key());
    Integer teamPriority = team == null ? null : team.priority();
    return new RequestNeeds(
        teamPriority == null ? route.priority() : teamPriority,
        route.objectiveMillis(),
        request.allowedMillis(route.timeoutMillis()));
  }

  /** Removes a pending request; returns whether it was pending. */
  boolean removePending(long request) {
    return pending.remove(request);
  }

  private @Nullable ActiveRelay admit(
      RelayRequest request,
      @Nullable Refusal refusal,
      Instant arrivedAt,
      Instant now,
      Output output) {
    RouteTable table = view.table();
    RelayRoute route = table.route(request.host(), request.path());
    if (refusal != null) {
      refuse(request, refusal, route, arrivedAt, now, output);
      return null;
    }
    if (route == null) {
      throw new IllegalStateException("an admitted request must match a route");
    }
    RelayTeam team = route.isPublic() ? null : table.team(request.key());
    RelayService service = selectService(table, route);
    ActiveRelay relay =
        new ActiveRelay(
            request,
            route,
            service,
            team,
            arrivedAt,
            arrivedAt.plusMillis(request.allowedMillis(route.timeoutMillis())));
    if (!route.models().isEmpty()) {
      relay.modelIndex = models.firstModel(route, request);
    }
    return relay;
  }

  private void refuse(
      RelayRequest request,
      Refusal refusal,
      @Nullable RelayRoute route,
      Instant arrivedAt,
      Instant now,
      Output output) {
    long timeoutMillis = route == null ? UNKNOWN_TIMEOUT_MILLIS : route.timeoutMillis();
    long elapsedMillis = Duration.between(arrivedAt, now).toMillis();
    long remainingMillis = request.allowedMillis(timeoutMillis) - elapsedMillis;
    boolean isKeyed = route != null && !route.isPublic();
    RelayTeam team = isKeyed ? view.table().team(request.key()) : null;
    int rank = route == null ? 0 : RequestCompleter.rank(team, route);
    completer.refuse(request, refusal, rank, remainingMillis, now, output);
  }

  private RelayService selectService(RouteTable table, RelayRoute route) {
    // The sum of two large weights can exceed an int; an overflow would make every entry halt.
    long totalWeight = route.services().stream().mapToLong(WeightedService::weight).sum();
    long remainingWeight = random.nextLong(totalWeight);
    for (WeightedService target : route.services()) {
      remainingWeight -= target.weight();
      RelayService service = table.service(target.service());
      if (remainingWeight < 0 && service != null) {
        return service;
      }
    }
    throw new IllegalStateException("a valid route must have a service with a positive weight");
  }
}
