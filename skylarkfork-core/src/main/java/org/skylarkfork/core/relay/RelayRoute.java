package org.skylarkfork.core.relay;

import java.util.List;

/**
 * Which requests go to which services, and how.
 *
 * @param name name of the route
 * @param host host that requests name, in lower case
 * @param pathPrefix beginning of the path, with a slash at both ends
 * @param kind what the requests allow
 * @param services where they go
 * @param timeoutMillis longest time that a caller is kept waiting, in milliseconds
 * @param objectiveMillis time within which an answer is on time, in milliseconds; 0 for none
 * @param pauseMillis longest pause between events that is on time, in milliseconds; 0 for none
 * @param maxAttempts most upstreams that one request may be sent to
 * @param priority rank of the requests, 0 first
 * @param isPublic whether requests need no key
 * @param sticky whether requests tell of their prompts
 * @param resumable whether a stream may go on at another upstream
 * @param models models that may answer, the smallest first; empty if the caller names the model
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

  /** Returns whether a request may be sent again although it may have run. */
  public boolean retryable() {
    return kind == RouteKind.IDEMPOTENT || kind == RouteKind.STREAMING && resumable;
  }
}
