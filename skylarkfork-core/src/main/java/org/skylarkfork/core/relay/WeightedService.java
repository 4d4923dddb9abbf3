package org.skylarkfork.core.relay;

/**
 * A service that receives a share of a route's requests.
 *
 * @param service name of the service
 * @param weight the service's share, relative to the other services of the route; 0 for none
 */
public record WeightedService(String service, int weight) {}
