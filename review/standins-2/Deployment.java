import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * A small deployment of the project's own programs as separate processes on loopback addresses.
 *
 * <p>Each process is started by the command of its role in the deploy file, in the root of the
 * checkout, with a settings file in a temporary folder. The settings are those of a small
 * deployment of the pages.
 */
final class Deployment implements AutoCloseable {

  static final String ZONE = "zone-a";

  private static final int CALLERS = 8227;
  private static final int READY = 8220;
  private static final int CONTROL = 8229;
  private static final int LISTS = 8224;
  private static final int PEERS = 7340;
  private static final int START_SECONDS = 30;

  private final Path root = Path.of("").toAbsolutePath();
  private final Path folder;
  private final String network;
  private final int controls;
  private final int entries;
  private final Process[] controlProcesses;
  private final Process[] entryProcesses;

  /**
   * Creates a deployment that isn't started.
   *
   * @param controls number of control VMs, 3 at least
   * @param entries number of entries
   */
  Deployment(int controls, int entries) throws IOException {
    this.controls = controls;
    this.entries = entries;
    this.controlProcesses = new Process[controls];
    this.entryProcesses = new Process[entries];
    this.folder = Files.createTempDirectory("review-2-");
    this.network = freeNetwork();
    Runtime.getRuntime().addShutdownHook(new Thread(this::kill));
  }

  /** Returns the first two numbers of loopback addresses that nobody listens on. */
  private static String freeNetwork() throws IOException {
    for (int attempt = 0; attempt < 50; attempt++) {
      String network = "127." + ThreadLocalRandom.current().nextInt(10, 250);
      try (ServerSocket one = new ServerSocket();
          ServerSocket other = new ServerSocket()) {
        one.bind(new InetSocketAddress(network + ".1.1", CONTROL));
        other.bind(new InetSocketAddress(network + ".2.1", CALLERS));
        return network;
      } catch (IOException used) {
        continue;
      }
    }
    throw new IOException("no free loopback addresses");
  }

  /** Starts all processes and waits until each entry is ready or the control VMs take calls. */
  void start() throws Exception {
    for (int index = 0; index < controls; index++) {
      startControl(index, true);
    }
    for (int index = 0; index < entries; index++) {
      startEntry(index);
    }
    for (int index = 0; index < controls; index++) {
      awaitListener(controlAddress(index));
    }
  }

  void startControl(int index, boolean first) throws IOException {
    String ip = network + ".1." + (index + 1);
    Path data = folder.resolve("data-" + index);
    Files.createDirectories(data);
    String listen =
        "{\"control\":\"" + ip + ":" + CONTROL + "\",\"directory\":\"" + ip + ":" + LISTS + "\"}";
    Path settings = folder.resolve("control-" + index + ".yaml");
    Files.writeString(
        settings, settings("core-" + index, "control", ip, listen, "\"" + data + "\"", first));
    controlProcesses[index] = launch("control", settings, "control-" + index + ".log");
  }

  void startEntry(int index) throws IOException {
    String ip = network + ".2." + (index + 1);
    String listen =
        "{\"front\":\""
            + ip
            + ":"
            + CALLERS
            + "\",\"ready\":\""
            + ip
            + ":"
            + READY
            + "\",\"directory\":\""
            + ip
            + ":"
            + LISTS
            + "\"}";
    Path settings = folder.resolve("entry-" + index + ".yaml");
    Files.writeString(settings, settings("edge-" + index, "entry", ip, listen, "null", true));
    entryProcesses[index] = launch("entry", settings, "entry-" + index + ".log");
  }

  private String settings(
      String name, String role, String ip, String listen, String data, boolean bootstrap) {
    StringBuilder seeds = new StringBuilder();
    for (int index = 0; index < 3; index++) {
      seeds.append(index == 0 ? "" : ",");
      seeds.append('"').append(network).append(".1.").append(index + 1).append(':');
      seeds.append(CONTROL).append('"');
    }
    boolean isControl = role.equals("control");
    return "{\"node_name\":\""
        + name
        + "\",\"role\":\""
        + role
        + "\",\"machine_class\":\""
        + (isControl ? "core" : "edge")
        + "\",\"serves\":[\""
        + (isControl ? "control_plane" : "edge")
        + "\",\"registry\"],\"ip\":\""
        + ip
        + "\",\"zone\":\""
        + ZONE
        + "\",\"region\":\"region-a\",\"zones\":{\""
        + ZONE
        + "\":\"region-a\"},\"listen\":"
        + listen
        + ",\"internal_port_range\":["
        + PEERS
        + ","
        + (PEERS + 15)
        + "],\"seeds\":["
        + seeds
        + "],\"bootstrap\":"
        + bootstrap
        + ",\"fault_counted\":"
        + isControl
        + ",\"limits\":{\"cpu_share\":"
        + (isControl ? "0.45" : "0.75")
        + ",\"cores\":1,\"memory_mb\":430,\"max_fds\":4096,"
        + "\"link_mbps\":1000.0,\"disk_mb\":"
        + (isControl ? 128 : 0)
        + "},\"data_dir\":"
        + data
        + ",\"discovery\":\"registration\",\"entry\":\"registry\",\"heartbeat_interval_ms\":1200,"
        + "\"contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\","
        + "\"stream\",\"tenants\",\"rollout\"],\"fault_tolerance\":{\"machines\":1,\"zones\":0,"
        + "\"regions\":0},\"bounds\":{\"seed_lag_s\":3,\"address_reuse_s\":2,\"contact_ms\":3000,"
        + "\"ack_timeout_ms\":4000,\"catch_up_s\":4,\"drain_timeout_ms\":2000,\"grace_s\":8,"
        + "\"loss_slack_ms\":200,\"config_apply_ms\":2000,\"rollback_slack_ms\":250,"
        + "\"max_stretch_ms\":5000,\"strict_revocation\":true,\"revoke_ms\":5000,"
        + "\"retry_budget_ratio\":0.9,\"budget_window_s\":10,\"budget_slack\":54,"
        + "\"exposure_share\":0.15,\"exposure_slack\":30,\"rollback_ms\":5000,\"recovery_s\":12,"
        + "\"pass_ms\":120,\"reuse_window_s\":7.7,\"session_s\":5,\"ttl_max_s\":5},"
        + "\"config_mode\":\"highest\"}";
  }

  private Process launch(String role, Path settings, String log) throws IOException {
    ProcessBuilder builder = new ProcessBuilder(command(role));
    Map<String, String> environment = builder.environment();
    environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
    environment.put("SKYLARKFORK_CONFIG", settings.toString());
    builder.directory(root.toFile());
    builder.redirectErrorStream(true);
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(log).toFile()));
    return builder.start();
  }

  private List<String> command(String role) throws IOException {
    String deploy = Files.readString(root.resolve("deploy/system.toml"));
    Matcher run =
        Pattern.compile("\\[roles\\." + role + "\\]\\s+run = \"([^\"]*)\"").matcher(deploy);
    if (!run.find()) {
      throw new IOException("the deploy file has no role " + role);
    }
    return List.of(run.group(1).split(" "));
  }

  InetSocketAddress controlAddress(int index) {
    return new InetSocketAddress(network + ".1." + (index + 1), CONTROL);
  }

  InetSocketAddress callerAddress(int index) {
    return new InetSocketAddress(network + ".2." + (index + 1), CALLERS);
  }

  /** Returns an address for a stand-in. */
  InetSocketAddress address(int host, int port) {
    return new InetSocketAddress(network + ".3." + host, port);
  }

  Process control(int index) {
    return controlProcesses[index];
  }

  Process entry(int index) {
    return entryProcesses[index];
  }

  int controls() {
    return controls;
  }

  int entries() {
    return entries;
  }

  /** Returns what a process has written so far. */
  String log(String name) throws IOException {
    return Files.readString(folder.resolve(name + ".log"));
  }

  private static void awaitListener(InetSocketAddress address) throws Exception {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(START_SECONDS);
    while (System.nanoTime() < end) {
      try (Socket socket = new Socket()) {
        socket.connect(address, 500);
        return;
      } catch (IOException notYet) {
        Thread.sleep(50);
      }
    }
    throw new IOException("nobody listens at " + address);
  }

  /** Waits until all entries say that they are ready. */
  void awaitReady() throws Exception {
    for (int index = 0; index < entries; index++) {
      awaitReady(index);
    }
  }

  void awaitReady(int index) throws Exception {
    InetSocketAddress address = new InetSocketAddress(network + ".2." + (index + 1), READY);
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(START_SECONDS);
    while (System.nanoTime() < end) {
      if (call(address, "GET", "/readyz", "").startsWith("200")) {
        return;
      }
      Thread.sleep(50);
    }
    throw new IOException("an entry isn't ready: " + address);
  }

  /** Sends an operator's call to one control VM after the other until one acknowledges it. */
  String operate(String method, String path, String body) throws Exception {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(START_SECONDS);
    String answer = "none";
    for (int turn = 0; System.nanoTime() < end; turn++) {
      answer = call(controlAddress(turn % controls), method, path, body);
      if (answer.startsWith("200") || answer.startsWith("400")) {
        return answer;
      }
      Thread.sleep(100);
    }
    throw new IOException("no control VM acknowledges " + method + " " + path + ": " + answer);
  }

  /** Returns the status and the body of the answer to a call, or what went wrong. */
  static String call(InetSocketAddress to, String method, String path, String body) {
    try (Socket socket = new Socket()) {
      socket.connect(to, 1000);
      socket.setSoTimeout(2000);
      byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
      String head =
          method
              + " "
              + path
              + " HTTP/1.1\r\nHost: control\r\nConnection: close\r\n"
              + "Content-Type: application/json\r\nContent-Length: "
              + bytes.length
              + "\r\n\r\n";
      OutputStream out = socket.getOutputStream();
      out.write(head.getBytes(StandardCharsets.ISO_8859_1));
      out.write(bytes);
      out.flush();
      InputStream in = socket.getInputStream();
      String answer = new String(in.readAllBytes(), StandardCharsets.UTF_8);
      int end = answer.indexOf("\r\n\r\n");
      return end < 0 ? "cut" : answer.substring(9, 12) + " " + answer.substring(end + 4);
    } catch (IOException failure) {
      return "failed " + failure.getMessage();
    }
  }

  private List<Process> processes() {
    List<Process> all = new ArrayList<>(Arrays.asList(controlProcesses));
    all.addAll(Arrays.asList(entryProcesses));
    all.removeIf(Objects::isNull);
    return all;
  }

  private void kill() {
    processes().forEach(Process::destroyForcibly);
  }

  /** Ends all processes and removes the temporary folder. */
  @Override
  public void close() throws Exception {
    kill();
    for (Process process : processes()) {
      process.waitFor(5, TimeUnit.SECONDS);
    }
    if (System.getenv("KEEP_LOGS") != null) {
      return;
    }
    try (Stream<Path> files = Files.walk(folder)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.deleteIfExists(file);
      }
    }
  }
}
