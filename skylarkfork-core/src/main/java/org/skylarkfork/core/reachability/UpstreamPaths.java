package org.skylarkfork.core.reachability;

import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * The paths from an entry to the upstreams of all services.
 *
 * <p>An entry may lose its links to upstreams while callers, control VMs and other entries still
 * reach it, so callers keep using it. It then opens its connections to upstreams through other
 * entries, which only copy bytes: all decisions on a request, and all promises about it, stay with
 * the entry that received it.
 */
public final class UpstreamPaths {

  private final Map<String, ServicePath> services = new LinkedHashMap<>();
  private final Forwarders forwarders = new Forwarders();

  /** Creates paths that are all direct. */
  public UpstreamPaths() {}

  /** Replaces the entries that may forward connections, as listed by the leader. */
  public void updateForwarders(List<String> nodes) {
    forwarders.update(nodes);
  }

  /** Returns the state of the path to a service. */
  public PathState state(String service) {
    ServicePath path = services.get(service);
    return path == null ? PathState.DIRECT : path.state();
  }

  /**
   * Returns the entry through which the next connection to a service is opened, or null to open it
   * over the own links.
   */
  public @Nullable String forwarder(String service, Instant now) {
    return isForwarded(service, now) ? forwarders.next(now) : null;
  }

  /** Returns whether the next connection to a service is opened through another entry. */
  public boolean isForwarded(String service, Instant now) {
    return state(service) != PathState.DIRECT && forwarders.isAvailable(now);
  }

  /** Returns the services whose upstreams are reached through other entries only. */
  public List<String> cutServices() {
    return services.entrySet().stream()
        .filter(service -> service.getValue().state() == PathState.FORWARDED)
        .map(Map.Entry::getKey)
        .toList();
  }

  /**
   * Records the outcome of opening a connection.
   *
   * @param service service of the upstream
   * @param upstream id of the upstream
   * @param forwarder entry that was to open the connection, or null for the own links
   * @param outcome the outcome
   * @param upstreams number of upstreams of the service
   * @param now the present time
   * @return whether the state of the service's path has changed
   */
  public boolean recordConnect(
      String service,
      String upstream,
      @Nullable String forwarder,
      ConnectOutcome outcome,
      int upstreams,
      Instant now) {
    ServicePath path = path(service);
    PathState before = path.state();
    boolean opened = outcome == ConnectOutcome.OPENED;
    if (forwarder == null) {
      path.recordDirect(upstream, opened, upstreams, isOtherCut(service), now);
    } else if (outcome == ConnectOutcome.FORWARDER_UNUSABLE) {
      forwarders.avoid(forwarder, now);
    } else if (outcome != ConnectOutcome.REJECTED) {
      path.recordForwarded(forwarder, opened, forwarders.count(), now);
    }
    if (path.state() == PathState.FORWARDED && before != PathState.FORWARDED) {
      services.values().forEach(ServicePath::requestProbe);
    }
    return path.state() != before;
  }

  private boolean isOtherCut(String service) {
    return cutServices().stream().anyMatch(cut -> !cut.equals(service));
  }

  /** Records an answer of a service over the own links. */
  public void recordAnswer(String service, Instant now) {
    path(service).recordAnswer(now);
  }

  /**
   * Records that an attempt over the own links has received no answer for a suspiciously long time.
   *
   * @param service service of the attempt
   * @param sentAt when the attempt was sent
   */
  public void recordUnanswered(String service, Instant sentAt) {
    path(service).recordUnanswered(sentAt);
  }

  /**
   * Returns whether the links to a service are cut and have carried no answer since a time, so that
   * an attempt that was sent over them then is lost.
   */
  public boolean isSilentSince(String service, Instant since) {
    return path(service).isSilentSince(since);
  }

  /** Returns how many upstreams of each service are to be probed over the own links now. */
  public Map<String, Integer> takeProbes(Instant now) {
    Map<String, Integer> probes = new LinkedHashMap<>();
    services.forEach(
        (service, path) -> {
          int count = path.probeCount();
          if (path.takeProbe(now)) {
            probes.put(service, count);
          }
        });
    return probes;
  }

  /** Forgets services that the configuration no longer has. */
  public void retain(List<String> configured) {
    services.keySet().retainAll(configured);
  }

  private ServicePath path(String service) {
    return services.computeIfAbsent(service, unknown -> new ServicePath());
  }
}
