package org.skylarkfork.core.relay;

/**
 * One run of an upstream's process.
 *
 * @param id number of the run, new at each start
 * @param service service that it belongs to
 * @param address IP number and port
 * @param zone its availability zone
 * @param version version of its software
 * @param slots requests that it runs at once; 0 if it doesn't say
 * @param sequence number of the heartbeat that told this, rising with each
 */
public record UpstreamInstance(
    String id,
    String service,
    String address,
    String zone,
    String version,
    int slots,
    long sequence) {}
