package org.skylarkfork.daemon;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A command of {@link Skylarkfork} as a process of its own, and what it prints. */
final class StartedProcess implements AutoCloseable {

  /** Longest wait for anything that the process does, on a busy machine too. */
  static final long LIMIT_SECONDS = 60;

  private final Process process;
  private final Thread reader;
  private final StringBuilder log = new StringBuilder();

  private StartedProcess(Process process) {
    this.process = process;
    this.reader = new Thread(this::readLog, "log of " + process.pid());
    reader.setDaemon(true);
    reader.start();
  }

  /**
   * Starts the program.
   *
   * @param arguments its command line
   */
  static StartedProcess start(String... arguments) throws IOException {
    return start(List.of(arguments), System.getProperty("java.class.path"));
  }

  /**
   * Starts the program.
   *
   * @param arguments its command line
   * @param classPath its class path
   * @param options further options of the JVM
   */
  static StartedProcess start(List<String> arguments, String classPath, String... options)
      throws IOException {
    List<String> command =
        new ArrayList<>(
            List.of(
                // A script that runs the tests under nohup hands on an ignored SIGHUP.
                "env",
                "--default-signal=HUP",
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx160m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Djava.net.preferIPv4Stack=true",
                "-Dtinylog.level=info",
                "-cp",
                classPath));
    command.addAll(List.of(options));
    command.add(Skylarkfork.class.getName());
    command.addAll(arguments);
    return new StartedProcess(new ProcessBuilder(command).redirectErrorStream(true).start());
  }

  private void readLog() {
    try (BufferedReader lines = process.inputReader()) {
      for (String line = lines.readLine(); line != null; line = lines.readLine()) {
        append(line);
      }
    } catch (IOException closed) {
      append("(the log can't be read: " + closed.getMessage() + ")");
    }
  }

  private synchronized void append(String line) {
    log.append(line).append('\n');
    notifyAll();
  }

  /** Returns what the process has printed so far. */
  synchronized String log() {
    return log.toString();
  }

  Process process() {
    return process;
  }

  /** Waits until a text is printed, and fails if the process ends without it. */
  synchronized void awaitText(String text) throws InterruptedException {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(LIMIT_SECONDS);
    while (!log.toString().contains(text)) {
      long left = end - System.nanoTime();
      boolean ended = !process.isAlive() && !reader.isAlive();
      assertFalse(ended, "ended without '" + text + "', status " + exitValue() + ":\n" + log);
      assertTrue(left > 0, "no '" + text + "':\n" + log);
      TimeUnit.NANOSECONDS.timedWait(this, Math.min(left, TimeUnit.SECONDS.toNanos(1)));
    }
  }

  private String exitValue() {
    return process.isAlive() ? "none" : Integer.toString(process.exitValue());
  }

  /** Sends a signal, such as {@code HUP}. */
  void signal(String name) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
  }

  /** Waits until the process and its log have ended, and returns the status. */
  int awaitEnd() throws InterruptedException {
    assertTrue(process.waitFor(LIMIT_SECONDS, TimeUnit.SECONDS), "it doesn't end:\n" + log());
    reader.join(TimeUnit.SECONDS.toMillis(LIMIT_SECONDS));
    return process.exitValue();
  }

  @Override
  public void close() throws InterruptedException {
    process.destroyForcibly();
    process.waitFor();
  }
}
