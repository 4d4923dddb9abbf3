package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * The programs of a small deployment as processes of their own, each with a loopback address of its
 * own, started by the commands of the deploy file.
 */
final class Deployment implements AutoCloseable {

  /** A zone of the deployment; there is one control VM in each. */
  static final List<String> ZONES = List.of("wien-halle", "linz-halle", "graz-halle");

  private static final String SUBNET = "127." + random(64, 127) + "." + random(1, 250) + ".";

  private final Record record;
  private final Path folder;
  private final int basePort;
  private final String entryCommand;
  private final String controlCommand;
  private final List<Daemon> daemons = new ArrayList<>();

  /** A program of the deployment. */
  final class Daemon {
    final String name;
    final String ip;
    final boolean control;
    private final String zone;
    private boolean bootstrap = true;
    Process process;
    int starts;

    private Daemon(String name, String ip, String zone, boolean control) {
      this.name = name;
      this.ip = ip;
      this.zone = zone;
      this.control = control;
    }

    /** Returns the address for callers of an entry. */
    String front() {
      return ip + ":" + (basePort + 1);
    }

    /** Returns the address for operators and servers of a control VM. */
    String controlAddress() {
      return ip + ":" + (basePort + 2);
    }

    String ready() {
      return ip + ":" + (basePort + 3);
    }

    /** Starts the process with the settings of now. */
    void start() throws IOException {
      Path settings = folder.resolve(name + ".json");
      Files.writeString(settings, Json.write(settings(this)));
      String command = control ? controlCommand : entryCommand;
      ProcessBuilder builder = new ProcessBuilder(command.split(" "));
      builder.environment().put("SKYLARKFORK_CONFIG", settings.toString());
      builder.redirectErrorStream(true);
      builder.redirectOutput(
          ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
      process = builder.start();
      bootstrap = false;
      starts++;
      record.add("start " + name + " pid=" + process.pid());
    }

    /** Sends a signal to the process by its id. */
    void signal(String signal) throws IOException, InterruptedException {
      record.add("signal " + signal + " to " + name);
      new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    String log() throws IOException {
      return Files.readString(folder.resolve(name + ".log"));
    }
  }

  Deployment(Record record, int entries) throws IOException {
    this.record = record;
    Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    this.folder = Files.createTempDirectory("review");
    this.basePort = freePorts();
    List<String> deploy = Files.readAllLines(Path.of("deploy/system.toml"));
    this.entryCommand = command(deploy, "[roles.entry]");
    this.controlCommand = command(deploy, "[roles.control]");
    for (int zone = 0; zone < ZONES.size(); zone++) {
      daemons.add(new Daemon("core-" + (zone + 1), ip(10 + zone), ZONES.get(zone), true));
    }
    for (int entry = 0; entry < entries; entry++) {
      String zone = ZONES.get(entry % ZONES.size());
      daemons.add(new Daemon("edge-" + (entry + 1), ip(20 + entry), zone, false));
    }
  }

  private static int random(int from, int to) {
    return ThreadLocalRandom.current().nextInt(from, to);
  }

  /** Returns an address that belongs to this deployment only. */
  static String ip(int host) {
    return SUBNET + host;
  }

  private static String command(List<String> deploy, String role) {
    String line =
        deploy.subList(deploy.indexOf(role), deploy.size()).stream()
            .filter(each -> each.startsWith("run = "))
            .findFirst()
            .orElseThrow();
    return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
  }

  private static int freePorts() throws IOException {
    for (int tries = 0; tries < 100; tries++) {
      int base = random(20_000, 32_000);
      boolean free = true;
      for (int port = base; port < base + 24 && free; port++) {
        try (ServerSocket socket = new ServerSocket()) {
          socket.bind(new InetSocketAddress(InetAddress.getByName(ip(10)), port));
        } catch (IOException inUse) {
          free = false;
        }
      }
      if (free) {
        return base;
      }
    }
    throw new IOException("no free ports");
  }

  /** Returns a port that no daemon uses. */
  int serverPort() {
    return basePort + 4;
  }

  private Map<String, Object> settings(Daemon daemon) {
    Map<String, Object> zones = new LinkedHashMap<>();
    ZONES.forEach(zone -> zones.put(zone, "ostalpen"));
    Map<String, Object> listen = new LinkedHashMap<>();
    if (daemon.control) {
      listen.put("control", daemon.controlAddress());
    } else {
      listen.put("front", daemon.front());
      listen.put("ready", daemon.ready());
    }
    listen.put("directory", daemon.ip + ":" + (basePort + 5));
    Map<String, Object> settings = new LinkedHashMap<>();
    settings.put("node_name", daemon.name);
    settings.put("role", daemon.control ? "control" : "entry");
    settings.put("machine_class", daemon.control ? "core" : "edge");
    settings.put("serves", daemon.control ? List.of("control_plane", "registry") : List.of("edge"));
    settings.put("ip", daemon.ip);
    settings.put("zone", daemon.zone);
    settings.put("region", "ostalpen");
    settings.put("zones", zones);
    settings.put("listen", listen);
    settings.put("internal_port_range", List.of(basePort + 8, basePort + 23));
    settings.put("seeds", controls().stream().map(Daemon::controlAddress).toList());
    settings.put("bootstrap", daemon.bootstrap);
    settings.put("fault_counted", daemon.control);
    settings.put("limits", limits(daemon));
    settings.put("data_dir", daemon.control ? dataFolder(daemon).toString() : null);
    settings.put("discovery", "registration");
    settings.put("entry", "registry");
    settings.put("heartbeat_interval_ms", 1200);
    settings.put(
        "contracts",
        List.of(
            "base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants",
            "rollout"));
    settings.put("fault_tolerance", Map.of("machines", 1, "zones", 0, "regions", 0));
    settings.put("bounds", bounds());
    settings.put("config_mode", "highest");
    return settings;
  }

  private static Map<String, Object> limits(Daemon daemon) {
    return Map.of(
        "cpu_share", daemon.control ? 0.45 : 0.75,
        "cores", 1,
        "memory_mb", daemon.control ? 426 : 430,
        "max_fds", daemon.control ? 4096 : 4100,
        "link_mbps", 1000.0,
        "disk_mb", daemon.control ? 128 : 0);
  }

  private static Map<String, Object> bounds() {
    Map<String, Object> bounds = new LinkedHashMap<>();
    bounds.put("seed_lag_s", 3);
    bounds.put("address_reuse_s", 2);
    bounds.put("contact_ms", 3000);
    bounds.put("ack_timeout_ms", 4000);
    bounds.put("catch_up_s", 4);
    bounds.put("drain_timeout_ms", 2000);
    bounds.put("grace_s", 8);
    bounds.put("loss_slack_ms", 200);
    bounds.put("config_apply_ms", 2000);
    bounds.put("rollback_slack_ms", 250);
    bounds.put("max_stretch_ms", 5000);
    bounds.put("strict_revocation", true);
    bounds.put("revoke_ms", 5000);
    bounds.put("retry_budget_ratio", 0.9);
    bounds.put("budget_window_s", 10);
    bounds.put("budget_slack", 54);
    bounds.put("exposure_share", 0.15);
    bounds.put("exposure_slack", 30);
    bounds.put("rollback_ms", 5000);
    bounds.put("recovery_s", 12);
    bounds.put("pass_ms", 120);
    bounds.put("reuse_window_s", 7.7);
    bounds.put("session_s", 5);
    bounds.put("ttl_max_s", 5);
    return bounds;
  }

  private Path dataFolder(Daemon daemon) {
    return folder.resolve(daemon.name + "-data");
  }

  List<Daemon> controls() {
    return daemons.stream().filter(daemon -> daemon.control).toList();
  }

  List<Daemon> entries() {
    return daemons.stream().filter(daemon -> !daemon.control).toList();
  }

  void start() throws IOException {
    for (Daemon daemon : controls()) {
      Files.createDirectories(dataFolder(daemon));
    }
    for (Daemon daemon : daemons) {
      daemon.start();
    }
  }

  /** Sends an operator's call to the control VMs in turn until one answers below 500. */
  Http.Message operate(String method, String path, String body, int limitMillis)
      throws InterruptedException {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(limitMillis);
    String last = "";
    for (int tries = 0; System.nanoTime() < end; tries++) {
      Daemon daemon = controls().get(tries % controls().size());
      try {
        Http.Message answer =
            Http.call(
                daemon.controlAddress(),
                method + " " + path + " HTTP/1.1\nHost: control\nContent-Type: application/json\n",
                body.getBytes(),
                1000);
        last = answer.start() + " " + answer.text();
        if (answer.status() < 500) {
          record.add("operator " + method + " " + path + " at " + daemon.name + ": " + last);
          return answer;
        }
      } catch (IOException failed) {
        last = failed.toString();
      }
      TimeUnit.MILLISECONDS.sleep(100);
    }
    throw new IllegalStateException(method + " " + path + " was not answered: " + last);
  }

  /** Waits until each entry says that it is ready. */
  void awaitReady(int limitMillis) throws InterruptedException {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(limitMillis);
    for (Daemon entry : entries()) {
      while (!isReady(entry)) {
        if (System.nanoTime() > end) {
          throw new IllegalStateException(entry.name + " isn't ready");
        }
        TimeUnit.MILLISECONDS.sleep(50);
      }
    }
    record.add("all entries are ready");
  }

  boolean isReady(Daemon entry) {
    try {
      String head = "GET /readyz HTTP/1.1\nHost: ready\n";
      return Http.call(entry.ready(), head, new byte[0], 1000).status() == 200;
    } catch (IOException failed) {
      return false;
    }
  }

  private void killAll() {
    for (Daemon daemon : daemons) {
      if (daemon.process != null) {
        daemon.process.destroyForcibly();
      }
    }
  }

  /** Kills all processes and removes their files. */
  @Override
  public void close() throws IOException {
    killAll();
    for (Daemon daemon : daemons) {
      if (daemon.process != null) {
        daemon.process.onExit().join();
      }
    }
    if (System.getenv("KEEP_LOGS") != null) {
      System.err.println("logs: " + folder);
      return;
    }
    try (Stream<Path> files = Files.walk(folder)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(file);
      }
    }
  }
}
