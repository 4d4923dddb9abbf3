package org.skylarkfork.runtime.settings;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Settings of one daemon.
 *
 * @param node name of the node, unique in the cluster
 * @param cluster name of the cluster; daemons of another one are refused
 * @param region region of the VM
 * @param zone availability zone of the VM
 * @param host IP number on which all listeners open
 * @param callerPort port for callers and announcements; 0 for a free one
 * @param adminPort port for operators; 0 for a free one
 * @param peerPort port for other daemons; 0 for a free one
 * @param dataFolder folder for what must survive, or null on a VM without a disk
 * @param voters names of the nodes that found the replicated groups, this one included if it is one
 * @param seeds addresses of daemons to join, this one included or not
 * @param ratingService IP number and port of the rating service, or null if there is none
 * @param sessionSecret secret shared by all daemons that signs session tokens
 * @param bootstrapOperatorKeySha256 hash of the operator key that is valid until the configuration
 *     holds one, or null if it holds one already
 * @param entryListLifetime how long callers keep the list of entries
 * @param timelineFile file for the time line, or null for none
 * @param journalFile file for every event with its effects, to replay a fault, or null for none; it
 *     holds prompts and answers
 * @param tls certificates towards other daemons, or null for plain connections
 */
public record DaemonSettings(
    String node,
    String cluster,
    String region,
    String zone,
    String host,
    int callerPort,
    int adminPort,
    int peerPort,
    @Nullable Path dataFolder,
    List<String> voters,
    List<Seed> seeds,
    @Nullable String ratingService,
    String sessionSecret,
    @Nullable String bootstrapOperatorKeySha256,
    Duration entryListLifetime,
    @Nullable Path timelineFile,
    @Nullable Path journalFile,
    @Nullable Tls tls) {

  private static final Duration DEFAULT_LIST_LIFETIME = Duration.ofSeconds(10);

  /** Copies the lists and fills in what was left out. */
  public DaemonSettings {
    voters = voters == null ? List.of() : List.copyOf(voters);
    seeds = seeds == null ? List.of() : List.copyOf(seeds);
    entryListLifetime = entryListLifetime == null ? DEFAULT_LIST_LIFETIME : entryListLifetime;
  }

  /** Makes settings without a journal. */
  public DaemonSettings(
      String node,
      String cluster,
      String region,
      String zone,
      String host,
      int callerPort,
      int adminPort,
      int peerPort,
      @Nullable Path dataFolder,
      List<String> voters,
      List<Seed> seeds,
      @Nullable String ratingService,
      String sessionSecret,
      @Nullable String bootstrapOperatorKeySha256,
      Duration entryListLifetime,
      @Nullable Path timelineFile,
      @Nullable Tls tls) {
    this(
        node,
        cluster,
        region,
        zone,
        host,
        callerPort,
        adminPort,
        peerPort,
        dataFolder,
        voters,
        seeds,
        ratingService,
        sessionSecret,
        bootstrapOperatorKeySha256,
        entryListLifetime,
        timelineFile,
        null,
        tls);
  }

  /**
   * A daemon to join.
   *
   * @param node its name
   * @param host its IP number
   * @param port its peer port
   */
  public record Seed(String node, String host, int port) {}

  /**
   * Certificates in PEM files.
   *
   * @param certificate this daemon's certificate chain
   * @param key its private key
   * @param trusted certificates of the authorities that sign daemons' certificates
   */
  public record Tls(Path certificate, Path key, Path trusted) {}

  /** Returns whether this daemon is one of the nodes that found the replicated groups. */
  public boolean isVoter() {
    return voters.contains(node);
  }

  /** Returns a reader of these settings. */
  public static SettingsReader<DaemonSettings> reader() {
    return new SettingsReader<>(DaemonSettings.class, "daemon.schema.json");
  }
}
