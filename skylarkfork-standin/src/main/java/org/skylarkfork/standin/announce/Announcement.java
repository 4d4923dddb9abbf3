package org.skylarkfork.standin.announce;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * What an upstream tells the entries with each heartbeat.
 *
 * @param protocol the version of this protocol, 1 today
 * @param id the name of the upstream, the same after a restart
 * @param incarnation rises with each start of the upstream's process
 * @param address the IP number and port for calls
 * @param zone the availability zone
 * @param kind what the upstream serves
 * @param service the name of the plain service; null for an engine
 * @param models the loaded versions; empty for a service
 * @param role the part of the work that an engine takes
 * @param capacity the number of requests it answers at the same time
 * @param load the load at some earlier moment
 * @param checksFencing whether orders with an old fencing number are refused
 * @param leaving whether the upstream wants no new work
 * @param gone whether the upstream has ended; its last announcement
 * @param cacheEvents the changes of the prefix cache since the last announcement, with gaps
 */
public record Announcement(
    int protocol,
    String id,
    long incarnation,
    String address,
    String zone,
    UpstreamKind kind,
    @Nullable String service,
    List<LoadedModel> models,
    EngineRole role,
    int capacity,
    LoadReport load,
    boolean checksFencing,
    boolean leaving,
    boolean gone,
    List<CacheEvent> cacheEvents) {

  /** The version of the protocol that this type writes. */
  public static final int PROTOCOL = 1;

  /** Copies the lists. */
  public Announcement {
    models = List.copyOf(models);
    cacheEvents = List.copyOf(cacheEvents);
  }

  /**
   * Gives this announcement as one of an upstream on its way out.
   *
   * @param ended whether the upstream has ended by now
   * @return a copy that is leaving
   */
  public Announcement asLeaving(boolean ended) {
    return new Announcement(
        protocol,
        id,
        incarnation,
        address,
        zone,
        kind,
        service,
        models,
        role,
        capacity,
        load,
        checksFencing,
        true,
        ended,
        cacheEvents);
  }
}
