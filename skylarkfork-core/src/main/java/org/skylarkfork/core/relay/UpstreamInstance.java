package org.skylarkfork.core.relay;

import org.skylarkfork.core.upstream.UpstreamRun;

/**
 * One run of an upstream's process, as its newest heartbeat told it.
 *
 * @param id id of the upstream; it may start again under the same one
 * @param service service that it belongs to
 * @param address IP number and port
 * @param zone its availability zone
 * @param version version of its software
 * @param slots requests that it runs at once; 0 if it doesn't say
 * @param sequence number of the heartbeat that told this, rising with each of a start
 * @param bornMillis when the process started, in milliseconds since 1970; 0 if it doesn't say
 * @param coldMillis how long it stayed cold when this was told, in milliseconds; 0 for a warm one
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

  /** Makes a warm upstream. */
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

  /** Returns the same state as it is to be told when the upstream stays cold for some time. */
  public UpstreamInstance withColdMillis(long millis) {
    return new UpstreamInstance(
        id, service, address, zone, version, slots, sequence, bornMillis, millis);
  }

  /** Returns which start of the upstream this is. */
  public UpstreamRun run() {
    return new UpstreamRun(id, bornMillis);
  }

  /** Returns whether this was told later than another state of the same id. */
  public boolean isNewerThan(UpstreamInstance other) {
    return bornMillis == other.bornMillis
        ? sequence > other.sequence
        : bornMillis > other.bornMillis;
  }
}
