package org.skylarkfork.daemon.soak;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.daemon.Skylarkfork;

/** One daemon of the relay as a process of its own, with the signals that it gets. */
final class RelayProcess {

  private static final List<String> OPTIONS =
      List.of("-Xmx48m", "-Xss256k", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1");

  private final String name;
  private final Path settings;
  private final Path data;
  private final File log;
  private @Nullable Process process;

  /**
   * Makes a daemon; {@link #start} starts it.
   *
   * @param name name of the daemon
   * @param folder takes its settings, data and log
   * @param text its settings
   */
  RelayProcess(String name, Path folder, String text) throws IOException {
    this.name = name;
    this.settings = folder.resolve(name + ".yaml");
    this.data = folder.resolve(name);
    this.log = folder.resolve(name + ".log").toFile();
    Files.createDirectories(data);
    Files.writeString(settings, text);
  }

  String name() {
    return name;
  }

  /** Starts the process, unless it runs. */
  synchronized void start() throws IOException {
    if (runs()) {
      return;
    }
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(OPTIONS);
    command.addAll(
        List.of("-cp", System.getProperty("java.class.path"), Skylarkfork.class.getName()));
    command.addAll(List.of("relay", "--settings", settings.toString()));
    process =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
            .start();
  }

  synchronized boolean runs() {
    return process != null && process.isAlive();
  }

  synchronized void kill() throws InterruptedException {
    if (process != null) {
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
}
