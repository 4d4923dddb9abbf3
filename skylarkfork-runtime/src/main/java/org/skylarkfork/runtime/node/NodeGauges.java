package org.skylarkfork.runtime.node;

import java.time.Instant;
import org.skylarkfork.core.consensus.GroupStatus;
import org.skylarkfork.core.consensus.Role;
import org.skylarkfork.runtime.trace.Metrics;
import org.skylarkfork.runtime.transport.TransportCounts;

/** Shows the present state of the parts as gauges; used by the reducer's thread only. */
final class NodeGauges {

  private final Metrics metrics;

  NodeGauges(Metrics metrics) {
    this.metrics = metrics;
  }

  /** Brings all gauges up to date. */
  void refresh(NodeParts parts, TransportCounts transport, Instant now) {
    metrics.set("configuration_revision", "", parts.configuration().current().revision());
    metrics.set("requests_quarantined", "", parts.configuration().current().quarantined().size());
    metrics.set("serving", "", parts.entries().acceptsNewWork(now) ? 1 : 0);
    metrics.set("members_live", "", parts.membership().live().size());
    metrics.set("upstreams_known", "", parts.directory().all().size());
    metrics.set("requests_active", "", parts.requests().activeRequests());
    metrics.set("answers_held_bytes", "", parts.requests().heldBytes());
    metrics.set("admission_waiting_requests", "", parts.admission().waiting());
    metrics.set("admission_running_requests", "", parts.admission().running());
    metrics.set("limit_leases", "", parts.shares().leases(now));
    metrics.set("limit_teams_owned", "", parts.shares().ownedTeams());
    parts.consensus().statuses().forEach(this::group);
    transport(transport);
  }

  private void group(GroupStatus status) {
    String group = status.group().toString();
    metrics.set("group_leads", group, status.role() == Role.LEADER ? 1 : 0);
    metrics.set("group_term", group, status.term());
    metrics.set("group_commit_index", group, status.commitIndex());
    metrics.set("group_unsynced_entries", group, status.lastIndex() - status.syncedIndex());
    metrics.set("group_log_entries", group, status.lastIndex() - status.snapshotIndex());
    metrics.set("group_log_bytes", group, status.logBytes());
    metrics.set("group_storage_failed", group, status.storageFailed() ? 1 : 0);
  }

  private void transport(TransportCounts counts) {
    metrics.set("peer_messages", "sent", counts.sent());
    metrics.set("peer_messages", "received", counts.received());
    metrics.set("peer_messages", "dropped", counts.dropped());
    metrics.set("peer_connections", "rubbish", counts.malformed());
    metrics.set("peer_connections", "refused", counts.refused());
    metrics.set("peer_connections", "lost", counts.lost());
  }
}
