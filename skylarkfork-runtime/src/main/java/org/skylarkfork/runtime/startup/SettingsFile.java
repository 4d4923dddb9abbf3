package org.skylarkfork.runtime.startup;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/**
 * The settings file of a daemon, which may be missing, empty or cut while it is being written.
 *
 * @param <T> the settings
 */
public final class SettingsFile<T> {

  private static final long READ_LIMIT_NANOS = TimeUnit.SECONDS.toNanos(5);
  private static final long RETRY_INTERVAL_MILLIS = 50;

  private final Path file;
  private final SettingsParser<T> parser;

  /**
   * Creates a settings file.
   *
   * @param file path of the file
   * @param parser parses its text
   */
  public SettingsFile(Path file, SettingsParser<T> parser) {
    this.file = file;
    this.parser = parser;
  }

  /**
   * Reads the settings, again and again for 5 s if they can't be read, and logs the first failure.
   *
   * @throws IOException if they can't be read in that time, or lack a value
   * @throws RuntimeException if a value can't be used
   * @throws InterruptedException if the thread is interrupted while it waits
   */
  public T read() throws IOException, InterruptedException {
    long end = System.nanoTime() + READ_LIMIT_NANOS;
    boolean logged = false;
    while (true) {
      try {
        return parser.parse(Files.readString(file));
      } catch (IOException | RuntimeException unreadable) {
        if (System.nanoTime() > end) {
          throw unreadable;
        }
        if (!logged) {
          Logger.warn("node: the settings can't be read yet file={}: {}", file, unreadable);
          logged = true;
        }
      }
      TimeUnit.MILLISECONDS.sleep(RETRY_INTERVAL_MILLIS);
    }
  }
}
