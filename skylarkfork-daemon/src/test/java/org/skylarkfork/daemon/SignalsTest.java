package org.skylarkfork.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.File;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Collectors;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests signals that reach the commands which run until they are told to stop. */
public final class SignalsTest {

  private static final String HASH =
      "4489ff2f9ea96e76d15846c1b6fb8fe5e2831f2433aebb54ccf3be9db7d1418d";

  private Path folder;
  private Path settings;

  /** Creates a folder for the settings and the data of one test. */
  @BeforeMethod
  public void createFolder() throws Exception {
    folder = Files.createTempDirectory("signals");
    settings = folder.resolve("settings.yaml");
  }

  /** Deletes the folder. */
  @AfterMethod
  public void deleteFolder() throws Exception {
    try (var files = Files.walk(folder)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(file);
      }
    }
  }

  /** Returns the commands that read settings, each with the words before its option. */
  @DataProvider
  public static Object[][] commands() {
    return new Object[][] {{List.of("relay")}, {List.of("daemon")}, {List.of("standin", "rating")}};
  }

  private StartedProcess start(List<String> words) throws Exception {
    String[] arguments = new String[words.size() + 2];
    words.toArray(arguments);
    arguments[words.size()] = "--settings";
    arguments[words.size() + 1] = settings.toString();
    return StartedProcess.start(arguments);
  }

  /** Guards against a lost terminal, or a word of changed settings, that ends a process. */
  @Test(dataProvider = "commands")
  public void hangUpEndsNoProcess(List<String> command) throws Exception {
    HeldFile held = new HeldFile(settings);
    try (StartedProcess process = start(command)) {
      final OutputStream read = held.awaitReader(process);
      process.signal("HUP");
      Files.delete(settings);
      Files.writeString(settings, text(command, "127.0.0.2:1"));
      read.write(text(command, "127.0.0.1:1").getBytes(StandardCharsets.UTF_8));
      read.close();
      process.awaitText("signal=SIGHUP came during the start");
      if (command.contains("relay")) {
        process.awaitText("node: reloaded seeds=[127.0.0.2:1]");
      }
      process.signal("TERM");
      assertEquals(process.awaitEnd(), 0, process.log());
      assertTrue(process.log().contains("node: stopped as planned"), process.log());
    }
  }

  /** Guards against a planned stop during the start that looks like a failure. */
  @Test(dataProvider = "commands")
  public void stopDuringTheStartEndsWithStatusZero(List<String> command) throws Exception {
    HeldFile held = new HeldFile(settings);
    try (StartedProcess process = start(command)) {
      final OutputStream read = held.awaitReader(process);
      process.signal("TERM");
      assertEquals(process.awaitEnd(), 0, process.log());
      assertTrue(process.log().contains("signal=SIGTERM"), process.log());
      read.close();
    }
  }

  /** Guards against a trial that ends with its terminal, and leaves its data behind at a stop. */
  @Test
  public void quickstartLivesAfterHangUpAndStopsWithStatusZero() throws Exception {
    try (StartedProcess process = StartedProcess.start("quickstart")) {
      process.awaitText("Try:");
      process.signal("HUP");
      process.awaitText("signal=SIGHUP");
      process.signal("TERM");
      assertEquals(process.awaitEnd(), 0, process.log());
      assertTrue(process.log().contains("signal=SIGTERM"), process.log());
    }
  }

  /** Guards against a broken file that ends the process without a line that names the problem. */
  @Test
  public void wrongSettingsEndTheProcessWithTheirProblems() throws Exception {
    Files.writeString(settings, "node: relay-1\nunknown: 1\n");
    try (StartedProcess process = start(List.of("relay"))) {
      assertEquals(process.awaitEnd(), 1, process.log());
      assertTrue(process.log().contains("Line 2:"), process.log());
      assertTrue(process.log().contains("node: relay can't start"), process.log());
    }
  }

  /** Guards against a start that fails since the JVM was told to leave signals alone. */
  @Test
  public void signalsThatCannotBeHandledKeepNoProcessFromStarting() throws Exception {
    Files.writeString(settings, relay("127.0.0.1:1"));
    String classPath = System.getProperty("java.class.path");
    List<String> arguments = List.of("relay", "--settings", settings.toString());
    try (StartedProcess process = StartedProcess.start(arguments, classPath, "-Xrs")) {
      process.awaitText("node: a signal can't be handled signal=SIGTERM");
      process.awaitText("node: started");
    }
  }

  /** Guards against a process that ends since its settings are being rewritten just then. */
  @Test
  public void emptySettingsAreAwaited() throws Exception {
    HeldFile empty = new HeldFile(settings);
    try (StartedProcess process = start(List.of("relay"))) {
      OutputStream read = empty.awaitReader(process);
      Path complete = Files.writeString(folder.resolve("complete"), relay("127.0.0.1:1"));
      Files.move(complete, settings, StandardCopyOption.ATOMIC_MOVE);
      read.close();
      process.awaitText("node: the settings can't be read yet");
      process.awaitText("node: started");
    }
  }

  /** Guards against a process that neither serves nor ends, after an error: a missing class. */
  @Test
  public void errorInTheStartEndsTheProcess() throws Exception {
    Path data = Files.createDirectory(folder.resolve("data"));
    String control = "controlPort: " + freePort() + "\ndataFolder: " + data + "\n";
    Files.writeString(settings, relay("127.0.0.1:1") + control);
    String classPath =
        Arrays.stream(System.getProperty("java.class.path").split(File.pathSeparator))
            .filter(part -> !part.contains("commons-rng-simple"))
            .collect(Collectors.joining(File.pathSeparator));
    List<String> arguments = List.of("relay", "--settings", settings.toString());
    try (StartedProcess process = StartedProcess.start(arguments, classPath)) {
      assertEquals(process.awaitEnd(), 1, process.log());
      assertTrue(process.log().contains("node: relay can't start"), process.log());
      assertTrue(process.log().contains("NoClassDefFoundError"), process.log());
    }
  }

  private static String text(List<String> command, String seed) throws Exception {
    return switch (command.get(0)) {
      case "relay" -> relay(seed);
      case "daemon" -> daemon();
      default -> "host: 127.0.0.1\nport: " + freePort() + "\nqualities: {\"m:1\": 0.5}\n";
    };
  }

  private static String relay(String seed) throws Exception {
    return String.join(
        "\n",
        "node: relay-1",
        "zone: utrecht-a",
        "host: 127.0.0.1",
        "peerPort: " + freePort(),
        "callerPort: " + freePort(),
        "grace: 1s",
        "seeds: [\"" + seed + "\"]",
        "");
  }

  private static String daemon() throws Exception {
    return String.join(
        "\n",
        "node: vm-2",
        "cluster: test",
        "region: nl-mid",
        "zone: utrecht-a",
        "host: 127.0.0.1",
        "callerPort: " + freePort(),
        "adminPort: " + freePort(),
        "peerPort: " + freePort(),
        "voters: [vm-1]",
        "seeds: [{node: vm-1, host: 127.0.0.1, port: 1}]",
        "ratingService: 127.0.0.1:1",
        "sessionSecret: replace-this-example-secret",
        "bootstrapOperatorKeySha256: " + HASH,
        "entryListLifetime: 1s",
        "");
  }

  private static int freePort() throws Exception {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      return socket.getLocalPort();
    }
  }
}
