package org.skylarkfork.core.upstream;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * The state that an upstream announces, repeated periodically as its heartbeat.
 *
 * @param id name of the upstream, the same after a restart
 * @param incarnation incarnation number of the process; higher after a restart
 * @param host IP address at which the upstream accepts requests
 * @param port port at which the upstream accepts requests
 * @param zone availability zone of the upstream
 * @param kind whether the upstream is an engine or a plain service
 * @param service name of the service, or null for an engine
 * @param models loaded models; empty for a service
 * @param role {@code mixed}, {@code prefill} or {@code decode}
 * @param capacity maximum number of requests that the upstream runs concurrently
 * @param load current load
 * @param checksFencing whether the upstream refuses orders with an outdated fencing number
 * @param leaving whether the upstream accepts no new work because it is about to end
 * @param gone whether the upstream has ended; no further announcement of this process follows
 * @param cacheEvents known changes of the prefix cache since the previous announcement
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
