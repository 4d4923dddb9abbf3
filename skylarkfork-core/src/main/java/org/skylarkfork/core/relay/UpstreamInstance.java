package org.skylarkfork.core.relay;

import org.skylarkfork.core.upstream.UpstreamRun;

/**
 * One run of an upstream's process, as of its newest heartbeat.
 *
 * @param id id of the upstream; a restarted process may have the same id
 * @param service service that it belongs to
 * @param address IP address and port
 * @param zone its availability zone
 * @param version version of its software
 * @param slots number of requests that it runs at once; 0 if unknown
 * @param sequence number of the heartbeat, which increases with each heartbeat of a run
 * @param bornMillis when the process started, in milliseconds since 1970; 0 if unknown
 * @param coldMillis remaining time for which it is cold, as of the message, in milliseconds; 0 if
 *     it is warm
 */
public record UpstreamInstance(
    String id,
    String service,
    String address,
    String zone,
    String version,
    int slots,
    long sequence,
    long bornMillis,
    long coldMillis) {

  /** Creates a warm upstream. */
  public UpstreamInstance(
      String id,
      String service,
      String address,
      String zone,
      String version,
      int slots,
      long sequence,
      long bornMillis) {
    this(id, service, address, zone, version, slots, sequence, bornMillis, 0);
  }

  /** Returns this instance with another remaining cold time, in milliseconds. */
  public UpstreamInstance withColdMillis(long millis) {
    return new UpstreamInstance(
        id, service, address, zone, version, slots, sequence, bornMillis, millis);
  }

  /** Returns the run of the upstream. */
  public UpstreamRun run() {
    return new UpstreamRun(id, bornMillis);
  }

  /** Returns whether this is a newer state than another one of the same id. */
  public boolean isNewerThan(UpstreamInstance other) {
    return bornMillis == other.bornMillis
        ? sequence > other.sequence
        : bornMillis > other.bornMillis;
  }
}
