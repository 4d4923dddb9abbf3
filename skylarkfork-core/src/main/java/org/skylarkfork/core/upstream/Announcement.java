package org.skylarkfork.core.upstream;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * What an upstream says of itself, repeated as its heartbeat.
 *
 * @param id name of the upstream, kept over restarts
 * @param incarnation number of the process; a restart has a higher one
 * @param host IP number at which it takes requests
 * @param port port at which it takes requests
 * @param zone availability zone
 * @param kind engine or plain service
 * @param service name of the service, or null for an engine
 * @param models what is loaded; empty for a service
 * @param role {@code mixed}, {@code prefill} or {@code decode}
 * @param capacity requests it runs at the same time
 * @param load its load
 * @param checksFencing whether it refuses orders with an old fencing number
 * @param leaving whether it wants no new work
 * @param gone whether it has ended; no further announcement follows
 * @param cacheEvents changes of the prefix cache since the last announcement, as far as known
 */
public record Announcement(
    String id,
    long incarnation,
    String host,
    int port,
    String zone,
    UpstreamKind kind,
    @Nullable String service,
    List<LoadedModel> models,
    String role,
    int capacity,
    LoadReport load,
    boolean checksFencing,
    boolean leaving,
    boolean gone,
    List<CacheEvent> cacheEvents) {

  /** Copies the lists. */
  public Announcement {
    models = List.copyOf(models);
    cacheEvents = List.copyOf(cacheEvents);
  }
}
