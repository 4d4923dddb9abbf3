package org.skylarkfork.core.relay;

/**
 * A service that gets a part of a route's requests.
 *
 * @param service name of the service
 * @param weight its part, relative to the other services of the route; 0 for none
 */
public record WeightedService(String service, int weight) {}
