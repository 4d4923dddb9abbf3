package org.skylarkfork.runtime.loop;

import java.io.BufferedWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.List;
import org.skylarkfork.core.effect.Effect;
import org.skylarkfork.core.event.Event;
import org.skylarkfork.runtime.codec.Codec;
import org.tinylog.Logger;

/**
 * Writes every event with its effects as JSON lines, to replay a daemon's decisions.
 *
 * <p>The lines are written on the reducer's thread and hold prompts and answers, so the file is for
 * the search of a fault and not for everyday use.
 */
public final class JournalFile implements Journal, AutoCloseable {

  private final Path file;
  private final Codec codec;
  private final BufferedWriter writer;
  private boolean failed;

  /**
   * Opens the file in place of an older one.
   *
   * @param file where the lines go
   * @param codec writes the lines
   */
  public JournalFile(Path file, Codec codec) {
    this.file = file;
    this.codec = codec;
    this.writer = open(file);
  }

  private static BufferedWriter open(Path file) {
    try {
      Path folder = file.toAbsolutePath().getParent();
      if (folder != null) {
        Files.createDirectories(folder);
      }
      return Files.newBufferedWriter(file);
    } catch (IOException failure) {
      throw new UncheckedIOException(
          "The journal file " + file + " can't be opened. Name one in a folder that exists.",
          failure);
    }
  }

  /** Writes the first line; to be called once before the first event. */
  public void begin(JournalStart start) {
    write(start);
  }

  @Override
  public synchronized void applied(Instant now, Event event, List<Effect> effects) {
    write(new JournalLine(now, event, effects));
  }

  private synchronized void write(Object line) {
    if (failed) {
      return;
    }
    try {
      writer.write(codec.toJson(line));
      writer.write('\n');
    } catch (IOException failure) {
      failed = true;
      Logger.error(
          "journal: Writing {} failed: {}. Free space and restart.", file, failure.getMessage());
    }
  }

  /** Writes what is buffered and closes the file. */
  @Override
  public synchronized void close() {
    failed = true;
    try {
      writer.close();
    } catch (IOException failure) {
      Logger.error("journal: Closing {} failed: {}.", file, failure.getMessage());
    }
  }
}
