package org.skylarkfork.runtime.startup;

import java.io.PrintStream;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.time.LocalDateTime;
import java.time.format.DateTimeFormatter;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.IntConsumer;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.InvariantViolation;
import org.tinylog.provider.ProviderRegistry;

/**
 * Ends the process with a line that tells the reason.
 *
 * <p>The line is written to standard output directly, since the library's log is written by a
 * thread that may not have begun, or may have ended by the same failure. A log that nobody reads
 * doesn't keep the process from ending.
 *
 * <p>The class is thread-safe.
 */
public final class ProcessEnd {

  /** Status of a process that was told to end. */
  public static final int SUCCESS = 0;

  /** Status of a process that ends by a failure. */
  public static final int FAILURE = 1;

  private static final long FLUSH_LIMIT_MILLIS = 1000;
  private static final long WRITE_LIMIT_MILLIS = 1000;

  private final PrintStream output;
  private final Runnable flushLog;
  private final IntConsumer halt;
  private final AtomicBoolean ending = new AtomicBoolean();

  /**
   * Creates an end of a process.
   *
   * @param output receives the line
   * @param flushLog writes what the log still holds
   * @param halt ends the process with a status and runs no shutdown hook
   */
  public ProcessEnd(PrintStream output, Runnable flushLog, IntConsumer halt) {
    this.output = output;
    this.flushLog = flushLog;
    this.halt = halt;
  }

  /** Returns the end of this process, which writes to standard output. */
  public static ProcessEnd ofThisProcess() {
    return new ProcessEnd(System.out, ProcessEnd::flushLog, Runtime.getRuntime()::halt);
  }

  /**
   * Ends the process as planned. Does nothing if the process is ending.
   *
   * @param reason what ended and why, as the text of a log line
   */
  public void stopped(String reason) {
    end(SUCCESS, "INFO", reason, null);
  }

  /**
   * Ends the process by a failure. Does nothing if the process is ending.
   *
   * @param reason what failed, as the text of a log line
   * @param cause the failure, or null if the reason tells everything
   */
  public void failed(String reason, @Nullable Throwable cause) {
    end(FAILURE, "ERROR", reason, cause);
  }

  /**
   * Ends the process, since its daemon can't go on. Does nothing if the process is ending.
   *
   * @param cause the failure
   */
  public void halted(Throwable cause) {
    String why = cause instanceof InvariantViolation ? "an invariant broke" : "it can't go on";
    failed("node: the daemon halts, since " + why, cause);
  }

  /**
   * Writes a line about a failure that the process survives.
   *
   * @param reason what failed, as the text of a log line
   * @param cause the failure
   */
  void report(String reason, Throwable cause) {
    write(line("ERROR", reason, cause));
  }

  private void end(int status, String level, String reason, @Nullable Throwable cause) {
    if (!ending.compareAndSet(false, true)) {
      return;
    }
    try {
      runWithin(FLUSH_LIMIT_MILLIS, flushLog);
      String text = line(level, reason + " status=" + status, cause);
      runWithin(WRITE_LIMIT_MILLIS, () -> write(text));
    } finally {
      halt.accept(status);
    }
  }

  private static void flushLog() {
    try {
      ProviderRegistry.getLoggingProvider().shutdown();
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  /** Runs a task on a thread of its own, and leaves it behind if it takes too long. */
  private void runWithin(long limitMillis, Runnable task) {
    Thread thread = new Thread(() -> runLogged(task), "end");
    thread.setDaemon(true);
    try {
      thread.start();
    } catch (OutOfMemoryError noThread) {
      runLogged(task);
      return;
    }
    try {
      thread.join(limitMillis);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  private void runLogged(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException | Error failure) {
      report("node: the log can't be written", failure);
    }
  }

  private void write(String text) {
    output.print(text);
    output.flush();
  }

  private static String line(String level, String reason, @Nullable Throwable cause) {
    StringWriter text = new StringWriter();
    PrintWriter lines = new PrintWriter(text);
    lines.println(
        LocalDateTime.now().format(DateTimeFormatter.ofPattern("yyyy-MM-dd HH:mm:ss.SSS"))
            + " "
            + level
            + " "
            + reason);
    if (cause != null) {
      cause.printStackTrace(lines);
    }
    lines.flush();
    return text.toString();
  }
}
