package org.skylarkfork.standin.measure.daemon;

/**
 * A server of a plain service.
 *
 * @param id name of the upstream
 * @param zone availability zone
 * @param service name of the service
 * @param capacity calls that it runs at the same time
 * @param meanMillis mean time of a call in milliseconds
 */
record ServiceSpec(String id, String zone, String service, int capacity, double meanMillis) {}
