package org.skylarkfork.core.configuration;

import java.util.List;

/**
 * A plain service to which calls are routed by path.
 *
 * @param name name of the service in the path
 * @param nonIdempotentMethods HTTP methods whose calls run at most once
 * @param timeoutMillis timeout of an attempt, in milliseconds
 * @param callMicros price of a call in millionths of the currency unit
 */
public record ServiceDefinition(
    String name, List<String> nonIdempotentMethods, long timeoutMillis, long callMicros) {

  /** Copies the methods. */
  public ServiceDefinition {
    nonIdempotentMethods = List.copyOf(nonIdempotentMethods);
  }

  /** Returns whether a call with this method may be retried. */
  public boolean isIdempotent(String method) {
    return !nonIdempotentMethods.contains(method);
  }
}
