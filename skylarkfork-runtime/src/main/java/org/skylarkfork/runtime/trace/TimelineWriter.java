package org.skylarkfork.runtime.trace;

import java.io.BufferedWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import org.skylarkfork.runtime.codec.Codec;
import org.tinylog.Logger;

/**
 * Writes the time line as JSON lines on a thread of its own.
 *
 * <p>A slow disk must not hold the reducer up: lines past the bounded queue are dropped and
 * counted. The file is rotated once, so that it takes at most twice the bound.
 */
public final class TimelineWriter implements AutoCloseable {

  private static final int MAX_QUEUED = 50_000;
  private static final long MAX_FILE_BYTES = 256L * 1024 * 1024;
  private static final long FLUSH_MILLIS = 100;

  private final Path file;
  private final Codec codec;
  private final Metrics metrics;
  private final BlockingQueue<TimelineRecord> queue = new ArrayBlockingQueue<>(MAX_QUEUED);
  private final Thread thread;
  private volatile boolean closing;
  private BufferedWriter writer;
  private long written;

  /**
   * Opens the file and starts the thread.
   *
   * @param file where lines are appended
   * @param codec writes the lines
   * @param metrics counts dropped lines
   */
  public TimelineWriter(Path file, Codec codec, Metrics metrics) {
    this.file = file;
    this.codec = codec;
    this.metrics = metrics;
    this.writer = open();
    this.thread = new Thread(this::run, "timeline");
    this.thread.setDaemon(true);
    this.thread.start();
  }

  private BufferedWriter open() {
    try {
      Path folder = file.toAbsolutePath().getParent();
      if (folder != null) {
        Files.createDirectories(folder);
      }
      written = Files.exists(file) ? Files.size(file) : 0;
      return Files.newBufferedWriter(file, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
    } catch (IOException failure) {
      throw new UncheckedIOException(
          "The time line file " + file + " can't be opened. Name one in a folder that exists.",
          failure);
    }
  }

  /** Adds a line; dropped and counted if the queue is full. */
  public void add(TimelineRecord line) {
    if (!queue.offer(line)) {
      metrics.count("timeline_lines_dropped", "", 1);
    }
  }

  private void run() {
    try {
      while (!closing || !queue.isEmpty()) {
        TimelineRecord line = queue.poll(FLUSH_MILLIS, TimeUnit.MILLISECONDS);
        if (line == null) {
          writer.flush();
        } else {
          write(line);
        }
      }
      writer.close();
    } catch (IOException failure) {
      Logger.error("timeline: Writing failed: {}. Free space and restart.", failure.getMessage());
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  private void write(TimelineRecord line) throws IOException {
    String text = codec.toJson(line);
    writer.write(text);
    writer.write('\n');
    written += text.length() + 1;
    if (written > MAX_FILE_BYTES) {
      writer.close();
      Path older = file.resolveSibling(file.getFileName() + ".1");
      Files.move(file, older, StandardCopyOption.REPLACE_EXISTING);
      writer = open();
    }
  }

  /** Writes what is queued and closes the file. */
  @Override
  public void close() {
    closing = true;
    try {
      thread.join();
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }
}
