package org.skylarkfork.runtime.settings;

import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.overload.EntryCapacity;
import org.skylarkfork.core.overload.OverloadSettings;
import org.skylarkfork.runtime.limits.DescriptorBudget;
import org.skylarkfork.runtime.relay.RelaySettings;

/**
 * Settings of one daemon of the relay, as its YAML file gives them.
 *
 * @param node name for logs
 * @param zone availability zone
 * @param zones the deployment's availability zones; by default any name is taken for one
 * @param host IP number on which all listeners open
 * @param peerPort port for other daemons
 * @param callerPort port for callers, or null if this is no entry
 * @param readyPort port that tells readiness, or null for none
 * @param controlPort port for operators and upstreams, or null if this is no control VM
 * @param metricsPort port for metrics, or null for none
 * @param dataFolder folder of a control VM, or null
 * @param seeds peer addresses of control VMs
 * @param mayFound whether the control VMs may found their group; true by default
 * @param voters control VMs that are to agree; 3 by default
 * @param keyBound time in which a removed key is dead; 5 s by default
 * @param heartbeat time between two heartbeats of an upstream; 1 s by default
 * @param retryRatio repeats that are allowed for each request; 0.2 by default
 * @param grace time that a stop may take; 8 s by default
 * @param capacity capacity of the VM; unknown by default
 * @param overload parts in use that act under overload; all by default
 * @param maxDescriptors maximum number of the process's descriptors; by default 4096, or what the
 *     system allows if that is less
 */
public record RelayFileSettings(
    String node,
    String zone,
    List<String> zones,
    String host,
    int peerPort,
    @Nullable Integer callerPort,
    @Nullable Integer readyPort,
    @Nullable Integer controlPort,
    @Nullable Integer metricsPort,
    @Nullable Path dataFolder,
    List<String> seeds,
    @Nullable Boolean mayFound,
    @Nullable Integer voters,
    @Nullable Duration keyBound,
    @Nullable Duration heartbeat,
    @Nullable Double retryRatio,
    @Nullable Duration grace,
    @Nullable EntryCapacity capacity,
    @Nullable OverloadSettings overload,
    @Nullable Integer maxDescriptors) {

  private static final int DEFAULT_VOTERS = 3;
  private static final Duration DEFAULT_KEY_BOUND = Duration.ofSeconds(5);
  private static final Duration DEFAULT_HEARTBEAT = Duration.ofSeconds(1);
  private static final double DEFAULT_RETRY_RATIO = 0.2;
  private static final Duration DEFAULT_GRACE = Duration.ofSeconds(8);

  /** Copies the lists. */
  public RelayFileSettings {
    zones = zones == null ? List.of() : List.copyOf(zones);
    seeds = seeds == null ? List.of() : List.copyOf(seeds);
  }

  /** Returns a reader that checks the settings as well. */
  public static SettingsReader<RelayFileSettings> reader() {
    return new SettingsReader<>(
        RelayFileSettings.class, "relay.schema.json", RelayFileSettings::problems);
  }

  /** Returns what is wrong although each value fits the schema; looks for the data folder. */
  List<SettingsProblem> problems() {
    List<SettingsProblem> problems = new ArrayList<>();
    if (callerPort == null && controlPort == null) {
      problems.add(
          new SettingsProblem(
              "", "the daemon would do nothing. Give it a callerPort, a controlPort or both."));
    }
    if ((controlPort == null) != (dataFolder == null)) {
      problems.add(
          new SettingsProblem("", "controlPort and dataFolder go together. Give both or neither."));
    }
    Path folder = dataFolder;
    if (folder != null && !Files.isDirectory(folder)) {
      problems.add(
          new SettingsProblem(
              "/dataFolder", folder + " is no folder. Mount or make it, then start again."));
    }
    return problems;
  }

  /** Returns the settings with what was left out filled in. */
  public RelaySettings toRelay() {
    return new RelaySettings(
        node,
        zone,
        zones,
        new InetSocketAddress(host, peerPort),
        seeds.stream().sorted().toList(),
        address(callerPort),
        address(readyPort),
        address(controlPort),
        null,
        address(metricsPort),
        dataFolder,
        mayFound == null || mayFound,
        voters == null ? DEFAULT_VOTERS : voters,
        keyBound == null ? DEFAULT_KEY_BOUND : keyBound,
        heartbeat == null ? DEFAULT_HEARTBEAT : heartbeat,
        retryRatio == null ? DEFAULT_RETRY_RATIO : retryRatio,
        grace == null ? DEFAULT_GRACE : grace,
        capacity == null ? EntryCapacity.UNKNOWN : capacity,
        overload == null ? OverloadSettings.DEFAULT : overload,
        maxDescriptors == null ? DescriptorBudget.UNKNOWN : maxDescriptors);
  }

  private @Nullable InetSocketAddress address(@Nullable Integer port) {
    return port == null ? null : new InetSocketAddress(host, port);
  }
}
