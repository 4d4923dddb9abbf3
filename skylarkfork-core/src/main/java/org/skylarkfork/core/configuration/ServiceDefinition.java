package org.skylarkfork.core.configuration;

import java.util.List;

/**
 * A plain service that the system routes to.
 *
 * @param name name in the path
 * @param nonIdempotentMethods HTTP methods whose calls run at most once
 * @param timeoutMillis how long an attempt may take, in milliseconds
 * @param callMicros price of a call in millionths of the currency unit
 */
public record ServiceDefinition(
    String name, List<String> nonIdempotentMethods, long timeoutMillis, long callMicros) {

  /** Copies the methods. */
  public ServiceDefinition {
    nonIdempotentMethods = List.copyOf(nonIdempotentMethods);
  }

  /** Returns whether a call with this method may be sent again. */
  public boolean isIdempotent(String method) {
    return !nonIdempotentMethods.contains(method);
  }
}
