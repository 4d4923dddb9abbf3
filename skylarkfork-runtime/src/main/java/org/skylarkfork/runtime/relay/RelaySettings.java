package org.skylarkfork.runtime.relay;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.overload.EntryCapacity;
import org.skylarkfork.core.overload.OverloadSettings;
import org.skylarkfork.runtime.limits.DescriptorBudget;

/**
 * Settings of a relay daemon.
 *
 * @param name name of the daemon in logs
 * @param zone availability zone
 * @param zones the deployment's availability zones; empty if they aren't known
 * @param peer address for other daemons, which also forms the daemon's peer name
 * @param seeds peer names of the control VMs to contact first
 * @param caller address for callers, or null if the daemon isn't an entry
 * @param ready address of the readiness check, or null if there is none
 * @param control address for calls of operators and upstreams, or null if the daemon isn't a
 *     control VM
 * @param lists address for callers' look-ups of entries, or null if there is none
 * @param metrics address that serves metrics, or null if there is none
 * @param dataFolder folder of a control VM's state, or null if the daemon isn't a control VM
 * @param mayFound whether the control VMs may bootstrap their group on empty disks
 * @param voters target number of control VMs that vote on changes
 * @param keyBound maximum time from the acceptance of a change until a removed key is rejected
 *     everywhere, and until nothing is sent to an evacuated zone
 * @param heartbeat interval between two heartbeats of an upstream
 * @param retryRatio retries allowed per request
 * @param grace maximum duration of a graceful shutdown
 * @param capacity capacity of the daemon's VM
 * @param overload parts in use that act under overload
 * @param maxDescriptors maximum number of the process's descriptors; 0 if it isn't configured
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
    Duration grace,
    EntryCapacity capacity,
    OverloadSettings overload,
    int maxDescriptors) {

  /** Copies the lists. */
  public RelaySettings {
    zones = List.copyOf(zones);
    seeds = List.copyOf(seeds);
  }

  /** Creates settings with the default number of descriptors. */
  public RelaySettings(
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
      Duration grace,
      EntryCapacity capacity,
      OverloadSettings overload) {
    this(
        name,
        zone,
        zones,
        peer,
        seeds,
        caller,
        ready,
        control,
        lists,
        metrics,
        dataFolder,
        mayFound,
        voters,
        keyBound,
        heartbeat,
        retryRatio,
        grace,
        capacity,
        overload,
        DescriptorBudget.UNKNOWN);
  }

  /** Returns the daemon's peer name. */
  public String peerName() {
    return peer.getAddress().getHostAddress() + ":" + peer.getPort();
  }
}
