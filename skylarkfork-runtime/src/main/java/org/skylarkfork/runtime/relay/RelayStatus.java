package org.skylarkfork.runtime.relay;

import java.time.Instant;
import java.util.List;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.relay.BackedOffUpstream;
import org.skylarkfork.core.relay.RelayEntryPart;
import org.skylarkfork.runtime.storage.DiskStorage;
import org.skylarkfork.runtime.trace.Metrics;
import org.skylarkfork.runtime.transport.PeerTransport;

/** What a daemon serves at its metrics address, an entry or not. */
final class RelayStatus {

  private final Metrics metrics;
  private final PeerTransport transport;
  private final Supplier<Instant> now;
  private final EntryStatusPages pages = new EntryStatusPages(this::metricsText, this::backoffs);
  private @Nullable RelayEntryPart entry;
  private @Nullable EntryGauges gauges;
  private @Nullable DiskStorage storage;

  /**
   * Creates the pages of a daemon that isn't an entry.
   *
   * @param metrics the daemon's metrics
   * @param transport its connections to other daemons
   * @param now returns the present time
   */
  RelayStatus(Metrics metrics, PeerTransport transport, Supplier<Instant> now) {
    this.metrics = metrics;
    this.transport = transport;
    this.now = now;
  }

  /** Shows an entry's state as well. */
  void showEntry(RelayEntryPart entryPart, EntryGauges entryGauges) {
    entry = entryPart;
    gauges = entryGauges;
  }

  /** Shows the state of a control VM's data folder as well. */
  void showStorage(DiskStorage dataFolder) {
    storage = dataFolder;
  }

  HttpReply answer(HttpCall call) {
    return pages.answer(call);
  }

  private String metricsText() {
    EntryGauges entryGauges = gauges;
    if (entryGauges != null) {
      entryGauges.refresh(metrics, now.get());
    }
    DiskStorage dataFolder = storage;
    if (dataFolder != null) {
      metrics.set("relay_logs_set_aside", "", dataFolder.logsSetAside());
    }
    Runtime memory = Runtime.getRuntime();
    metrics.set("relay_heap_bytes", "", memory.totalMemory() - memory.freeMemory());
    metrics.set("relay_forwarded_connections", "", transport.forwardedConnections());
    metrics.set("relay_peer_messages", "sent", transport.counts().sent());
    metrics.set("relay_peer_messages", "received", transport.counts().received());
    metrics.set("relay_peer_messages", "dropped", transport.counts().dropped());
    return metrics.text();
  }

  private List<BackedOffUpstream> backoffs() {
    RelayEntryPart entryPart = entry;
    return entryPart == null ? List.of() : entryPart.backedOffUpstreams(now.get());
  }
}
