package org.skylarkfork.daemon.soak;

import static java.nio.file.StandardOpenOption.APPEND;

import java.io.File;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.daemon.Skylarkfork;

/** One daemon of the relay as a process of its own, with the signals that it gets. */
final class RelayProcess {

  private static final List<String> OPTIONS =
      List.of("-Xmx48m", "-Xss256k", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1");

  /** Status of a process that was told to stop. */
  private static final int STOPPED = 0;

  private static final String LOG_PREFIX = "log-";
  private static final int FILE_HEADER_BYTES = Long.BYTES;
  private static final int RECORD_HEADER_BYTES = 3 * Integer.BYTES;

  /** Number of lines of a log that a finding quotes. */
  private static final int LAST_LINES = 8;

  private final String name;
  private final Path settings;
  private final Path data;
  private final File log;
  private final List<Integer> ports;
  private final List<String> findings;
  private @Nullable Process process;

  /** Whether the present process was told to end or killed. */
  private boolean ending;

  /** Whether the present process was told to stop once its main method ran, and wasn't killed. */
  private boolean stopping;

  /** Size of the control VM's log with the last torn record, in bytes. */
  private long tornBytes;

  /** Size of the log when the present process was started, in bytes. */
  private long logBytesBefore;

  /**
   * Makes a daemon; {@link #start} starts it.
   *
   * @param name name of the daemon
   * @param folder takes its settings, data and log
   * @param text its settings
   * @param ports the ports at which it listens
   * @param findings receives each end of a process that nobody asked for
   */
  RelayProcess(String name, Path folder, String text, List<Integer> ports, List<String> findings)
      throws IOException {
    this.name = name;
    this.findings = findings;
    this.ports = List.copyOf(ports);
    this.settings = folder.resolve(name + ".yaml");
    this.data = folder.resolve(name);
    this.log = folder.resolve(name + ".log").toFile();
    Files.createDirectories(data);
    Files.writeString(settings, text);
  }

  String name() {
    return name;
  }

  /** Returns the ports at which it listens, by its settings. */
  List<Integer> ports() {
    return ports;
  }

  /** Starts the process, unless it runs. */
  synchronized void start() throws IOException {
    if (runs()) {
      return;
    }
    checkEnd();
    ending = false;
    stopping = false;
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(OPTIONS);
    command.addAll(
        List.of("-cp", System.getProperty("java.class.path"), Skylarkfork.class.getName()));
    command.addAll(List.of("relay", "--settings", settings.toString()));
    logBytesBefore = log.length();
    process =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
            .start();
  }

  /**
   * Records a finding if the process ended by itself, or if it was told to stop and ended with
   * another status. To be called before the process is killed or started again.
   */
  synchronized void checkEnd() throws IOException {
    Process ended = process;
    if (ended == null || ended.isAlive()) {
      return;
    }
    int status = ended.exitValue();
    if (!ending) {
      findings.add(name + " ended by itself with " + status + "; its log ends: " + lastLines());
    } else if (stopping && status != STOPPED) {
      findings.add(name + " ended with " + status + " after SIGTERM; its log ends: " + lastLines());
    }
    process = null;
  }

  /** Returns the last lines of the log, without the frames of stack traces. */
  private String lastLines() throws IOException {
    List<String> lines =
        Files.readAllLines(log.toPath(), StandardCharsets.UTF_8).stream()
            .filter(line -> !line.startsWith("\t"))
            .toList();
    return String.join(" | ", lines.subList(Math.max(0, lines.size() - LAST_LINES), lines.size()));
  }

  /** Waits until the process has ended. */
  synchronized void awaitEnd() throws InterruptedException {
    if (process != null) {
      process.waitFor();
    }
  }

  synchronized boolean runs() {
    return process != null && process.isAlive();
  }

  synchronized void kill() throws IOException, InterruptedException {
    checkEnd();
    if (process != null) {
      ending = true;
      stopping = false;
      process.destroyForcibly();
      process.waitFor();
    }
  }

  /** Sends a signal, such as {@code STOP}, {@code CONT}, {@code TERM} or {@code HUP}. */
  synchronized void signal(String signal) throws IOException, InterruptedException {
    if (process != null && process.isAlive()) {
      new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid())).start().waitFor();
    }
  }

  /**
   * Tells the process to stop.
   *
   * @return what was told so, or null if nothing ran: a later start isn't told
   */
  synchronized @Nullable Process terminate() throws IOException, InterruptedException {
    Process told = process;
    if (told == null || !told.isAlive()) {
      return null;
    }
    ending = true;
    stopping = hasLogged();
    signal("CONT");
    signal("TERM");
    return told;
  }

  /**
   * Kills the process and empties its disk before anyone starts it again.
   *
   * <p>A process that was started in between would go on with files that are gone.
   */
  synchronized void loseDisk() throws IOException, InterruptedException {
    kill();
    try (var files = Files.walk(data)) {
      List<Path> all = new ArrayList<>(files.toList());
      all.remove(data);
      for (int place = all.size() - 1; place >= 0; place--) {
        Files.delete(all.get(place));
      }
    }
  }

  /**
   * Kills the process and appends the beginning of a record to its newest log, as a loss of power
   * leaves one that was never synced. Does nothing if the process hasn't recovered from the last
   * one, since it has written nothing then.
   *
   * @param share share of the first record's bytes, from 0 to 1, exclusive
   */
  synchronized void tearLog(double share) throws IOException, InterruptedException {
    kill();
    try (var files = Files.walk(data)) {
      Optional<Path> newest =
          files
              .filter(file -> file.getFileName().toString().startsWith(LOG_PREFIX))
              .max(Comparator.naturalOrder());
      if (newest.isPresent() && newest.get().toFile().length() != tornBytes) {
        Files.write(newest.get(), torn(Files.readAllBytes(newest.get()), share), APPEND);
        tornBytes = newest.get().toFile().length();
      }
    }
  }

  private static byte[] torn(byte[] file, double share) {
    if (file.length < FILE_HEADER_BYTES + RECORD_HEADER_BYTES) {
      return new byte[0];
    }
    int payload = ByteBuffer.wrap(file).getInt(FILE_HEADER_BYTES);
    int bytes = (int) (share * (RECORD_HEADER_BYTES + payload));
    return Arrays.copyOfRange(file, FILE_HEADER_BYTES, FILE_HEADER_BYTES + bytes);
  }

  /**
   * Returns whether the present process has written to its log, so that its {@code main} has begun:
   * nothing that Java runs can handle a signal before.
   */
  synchronized boolean hasLogged() {
    return runs() && log.length() > logBytesBefore;
  }
}
