package org.skylarkfork.runtime.relay;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Settings of one daemon of the relay.
 *
 * @param name name for logs
 * @param zone availability zone
 * @param zones the deployment's availability zones; empty if they aren't known
 * @param peer address for other daemons; its text is the daemon's peer name
 * @param seeds peer names of control VMs to begin with
 * @param caller where callers connect, or null if this is no entry
 * @param ready where readiness is asked for, or null
 * @param control where operators and upstreams call, or null if this is no control VM
 * @param lists where callers ask for entries, or null
 * @param metrics where metrics are served, or null
 * @param dataFolder where a control VM keeps its state, or null if this is none
 * @param mayFound whether the control VMs may found their group on empty disks
 * @param voters control VMs that are to agree on changes
 * @param keyBound time from the acceptance of a change until a key that it removes is dead, and
 *     until nothing is sent to an evacuated zone
 * @param heartbeat time between two heartbeats of an upstream
 * @param retryRatio repeats that are allowed for each request
 * @param grace time that a stop may take
 */
public record RelaySettings(
    String name,
    String zone,
    List<String> zones,
    InetSocketAddress peer,
    List<String> seeds,
    @Nullable InetSocketAddress caller,
    @Nullable InetSocketAddress ready,
    @Nullable InetSocketAddress control,
    @Nullable InetSocketAddress lists,
    @Nullable InetSocketAddress metrics,
    @Nullable Path dataFolder,
    boolean mayFound,
    int voters,
    Duration keyBound,
    Duration heartbeat,
    double retryRatio,
    Duration grace) {

  /** Copies the list. */
  public RelaySettings {
    zones = List.copyOf(zones);
    seeds = List.copyOf(seeds);
  }

  /** Returns the daemon's peer name. */
  public String peerName() {
    return peer.getAddress().getHostAddress() + ":" + peer.getPort();
  }
}
