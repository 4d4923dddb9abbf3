package org.skylarkfork.runtime.relay;

import java.time.Instant;
import org.skylarkfork.core.relay.RelayEntryPart;
import org.skylarkfork.core.relay.RelayRequestPart;
import org.skylarkfork.core.waiting.SlotSchedulerPart;
import org.skylarkfork.runtime.trace.Metrics;

/** Gauges of an entry, which are computed when the metrics are read. */
final class EntryGauges {

  private static final double MILLIS_PER_SECOND = 1000.0;

  /** Weight of the largest entry. */
  private static final double MAX_WEIGHT = 1000.0;

  private final RelayEntryPart entry;
  private final RelayRequestPart requests;
  private final SlotSchedulerPart slots;
  private final RelayCallerServer server;

  /**
   * Creates the gauges.
   *
   * @param entry the entry's view of the deployment
   * @param requests the entry's requests
   * @param slots calls for which this entry decides as scheduler
   * @param server connections of the entry's callers
   */
  EntryGauges(
      RelayEntryPart entry,
      RelayRequestPart requests,
      SlotSchedulerPart slots,
      RelayCallerServer server) {
    this.entry = entry;
    this.requests = requests;
    this.slots = slots;
    this.server = server;
  }

  /** Sets the gauges to their values as of a time. */
  void refresh(Metrics metrics, Instant now) {
    metrics.set("relay_configuration_version", "", entry.table().configuration().version());
    metrics.set("relay_proof_age_seconds", "", entry.proofAge(now).toMillis() / MILLIS_PER_SECOND);
    metrics.set("relay_evacuated_zones", "", entry.evacuatedZones().size());
    metrics.set("relay_quarantined_requests", "", entry.quarantinedCount());
    metrics.set("relay_limited_upstreams", "", entry.limitedUpstreamCount());
    metrics.set("relay_backed_off_upstreams", "", entry.backedOffUpstreams(now).size());
    metrics.set("relay_forwarders", "", entry.forwarders().size());
    metrics.set("relay_cut_services", "", entry.paths().cutServices().size());
    metrics.set("relay_ready", "", entry.ready(now) ? 1 : 0);
    metrics.set("relay_entry_weight", "", entry.weight() / MAX_WEIGHT);
    metrics.set("relay_requests_under_way", "", server.activeRequests());
    metrics.set("relay_pending_requests", "", requests.pendingRequestCount());
    metrics.set("relay_caller_connections", "", server.openConnections());
    metrics.set("relay_request_body_bytes", "", server.requestBuffers().totalBytes());
    metrics.set("relay_request_head_bytes", "", server.requestHeads().totalBytes());
    metrics.set("relay_slots_waiting", "", slots.waiting());
    metrics.set("relay_slots_running", "", slots.running());
  }
}
