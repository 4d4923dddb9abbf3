package org.skylarkfork.core.relay;

import java.util.List;

/**
 * A route: the requests it matches, the services that receive them, and the rules of delivery.
 *
 * @param name name of the route
 * @param host host of matching requests, in lower case
 * @param pathPrefix path prefix of matching requests, with a slash at both ends
 * @param kind whether the requests may run more than once, and whether their answers are streams
 * @param services the services that receive the requests
 * @param timeoutMillis maximum time for an answer, in milliseconds
 * @param objectiveMillis objective for the time to the first byte of an answer, in milliseconds; 0
 *     for none
 * @param pauseMillis objective for the longest pause between events, in milliseconds; 0 for none
 * @param maxAttempts maximum number of attempts that reach an upstream per request
 * @param priority priority of the requests, 0 being the highest
 * @param isPublic whether requests are accepted without a key
 * @param sticky whether requests describe the parts of their prompts
 * @param resumable whether another upstream may continue a stream
 * @param models models that may answer, ordered from the smallest; empty if the caller names the
 *     model
 */
public record RelayRoute(
    String name,
    String host,
    String pathPrefix,
    RouteKind kind,
    List<WeightedService> services,
    int timeoutMillis,
    int objectiveMillis,
    int pauseMillis,
    int maxAttempts,
    int priority,
    boolean isPublic,
    boolean sticky,
    boolean resumable,
    List<String> models) {

  /** Copies the lists. */
  public RelayRoute {
    services = List.copyOf(services);
    models = List.copyOf(models);
  }

  /** Returns whether a request may be retried although it may have run. */
  public boolean retryable() {
    return kind == RouteKind.IDEMPOTENT || kind == RouteKind.STREAMING && resumable;
  }
}
