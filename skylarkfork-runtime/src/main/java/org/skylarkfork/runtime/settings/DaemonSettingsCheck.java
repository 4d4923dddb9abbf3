package org.skylarkfork.runtime.settings;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** Finds what is wrong in one daemon's settings although each value fits the schema. */
public final class DaemonSettingsCheck {

  private static final int HIGHEST_BYTE = 255;
  private static final int HIGHEST_PORT = 65_535;
  private static final String ANY_ADDRESS = "0.0.0.0";
  private static final Duration LONGEST_LIST_LIFETIME = Duration.ofHours(1);

  private final DaemonSettings settings;
  private final List<SettingsProblem> problems = new ArrayList<>();

  private DaemonSettingsCheck(DaemonSettings settings) {
    this.settings = settings;
  }

  /** Returns a reader that also refuses settings with such problems. */
  public static SettingsReader<DaemonSettings> reader() {
    return new SettingsReader<>(
        DaemonSettings.class, "daemon.schema.json", DaemonSettingsCheck::problems);
  }

  /** Returns the problems; looks at the disk for folders and files that must exist. */
  public static List<SettingsProblem> problems(DaemonSettings settings) {
    DaemonSettingsCheck check = new DaemonSettingsCheck(settings);
    check.addresses();
    check.ports();
    check.voters();
    check.seeds();
    check.dataFolder();
    check.files();
    check.lifetime();
    return List.copyOf(check.problems);
  }

  private void problem(String pointer, String sentence) {
    problems.add(new SettingsProblem(pointer, sentence));
  }

  private void addresses() {
    ipNumber("/host", settings.host());
    for (int index = 0; index < settings.seeds().size(); index++) {
      ipNumber("/seeds/" + index + "/host", settings.seeds().get(index).host());
    }
    String rating = settings.ratingService();
    if (rating != null) {
      int colon = rating.indexOf(':');
      ipNumber("/ratingService", rating.substring(0, colon));
      int port = Integer.parseInt(rating.substring(colon + 1));
      if (port < 1 || port > HIGHEST_PORT) {
        problem("/ratingService", port + " is no port. Choose one from 1 to 65535.");
      }
    }
  }

  private void ipNumber(String pointer, String text) {
    if (text.equals(ANY_ADDRESS)) {
      problem(pointer, "0.0.0.0 can't be reached by others. Give the VM's own IP number.");
      return;
    }
    for (String part : text.split("\\.")) {
      if (Integer.parseInt(part) > HIGHEST_BYTE) {
        problem(pointer, text + " is no IP number. Give four numbers from 0 to 255.");
        return;
      }
    }
  }

  private void ports() {
    Map<Integer, String> taken = new HashMap<>();
    port(taken, "callerPort", settings.callerPort());
    port(taken, "adminPort", settings.adminPort());
    port(taken, "peerPort", settings.peerPort());
  }

  private void port(Map<Integer, String> taken, String name, int port) {
    if (port == 0) {
      return;
    }
    String other = taken.putIfAbsent(port, name);
    if (other != null) {
      problem("/" + name, port + " is also the " + other + ". Give each its own port.");
    }
  }

  private void voters() {
    if (settings.voters().isEmpty()) {
      problem("/voters", "no node votes. List the control VMs, the same on every daemon.");
      return;
    }
    if (settings.isVoter() && settings.dataFolder() == null) {
      problem(
          "/voters",
          settings.node()
              + " votes but has no dataFolder. Give it one, or take it out of the list on every"
              + " daemon.");
    }
    boolean alone = settings.voters().equals(List.of(settings.node()));
    boolean knowsAnother =
        settings.seeds().stream().anyMatch(seed -> !seed.node().equals(settings.node()));
    if (!alone && !knowsAnother) {
      problem("/seeds", "no other daemon is named. Add the address of at least one voter.");
    }
  }

  private void seeds() {
    Set<String> nodes = new HashSet<>();
    Set<String> addresses = new HashSet<>();
    for (int index = 0; index < settings.seeds().size(); index++) {
      String pointer = "/seeds/" + index;
      DaemonSettings.Seed seed = settings.seeds().get(index);
      if (!nodes.add(seed.node())) {
        problem(pointer + "/node", seed.node() + " is listed twice. Remove one of the two.");
      }
      if (!addresses.add(seed.host() + ":" + seed.port())) {
        problem(pointer + "/host", "another seed has this address. Correct one of the two.");
      }
      ownSeed(pointer, seed);
    }
  }

  private void ownSeed(String pointer, DaemonSettings.Seed seed) {
    boolean self = seed.node().equals(settings.node());
    boolean here =
        seed.host().equals(settings.host())
            && settings.peerPort() != 0
            && seed.port() == settings.peerPort();
    if (self && !here) {
      problem(
          pointer + "/node",
          seed.node()
              + " is this daemon, but host and peerPort say another address. Make them the same.");
    }
    if (here && !self) {
      problem(
          pointer + "/node",
          seed.node() + " has this daemon's address. Correct node, host or peerPort.");
    }
  }

  private void dataFolder() {
    Path folder = settings.dataFolder();
    if (folder == null) {
      return;
    }
    if (!Files.isDirectory(folder)) {
      // Making it would hide a volume that isn't mounted: the node would start as if wiped.
      problem("/dataFolder", folder + " is no folder. Mount or make it, then start again.");
    } else if (!Files.isWritable(folder)) {
      problem("/dataFolder", folder + " can't be written. Give this process the right to.");
    }
  }

  private void files() {
    Path timeline = settings.timelineFile();
    if (timeline != null && Files.isDirectory(timeline)) {
      problem("/timelineFile", timeline + " is a folder. Name a file.");
    }
    DaemonSettings.Tls tls = settings.tls();
    if (tls != null) {
      readable("/tls/certificate", tls.certificate());
      readable("/tls/key", tls.key());
      readable("/tls/trusted", tls.trusted());
    }
  }

  private void readable(String pointer, @Nullable Path file) {
    if (file == null || !Files.isRegularFile(file) || !Files.isReadable(file)) {
      problem(pointer, file + " can't be read. Put the PEM file there or correct the path.");
    }
  }

  private void lifetime() {
    Duration lifetime = settings.entryListLifetime();
    if (lifetime.isZero() || lifetime.compareTo(LONGEST_LIST_LIFETIME) > 0) {
      problem("/entryListLifetime", "it is out of bounds. Choose from 1ms to 1h; 10s is usual.");
    }
  }
}
