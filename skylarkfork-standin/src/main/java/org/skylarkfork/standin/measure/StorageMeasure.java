package org.skylarkfork.standin.measure;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.stream.Stream;
import org.skylarkfork.core.command.GroupCommand;
import org.skylarkfork.core.command.GroupId;
import org.skylarkfork.core.command.LogEntry;
import org.skylarkfork.core.effect.StorageEffect;
import org.skylarkfork.core.event.Event;
import org.skylarkfork.core.event.StorageEvent;
import org.skylarkfork.runtime.codec.Codec;
import org.skylarkfork.runtime.storage.Disk;
import org.skylarkfork.runtime.storage.DiskStorage;
import org.skylarkfork.runtime.storage.FileDisk;
import org.skylarkfork.runtime.storage.StorageSettings;

/**
 * Measures the disk log: appends and syncs a second by batch size, and recovery time by length.
 *
 * <p>Prints one JSON line for each figure. Figures depend on the disk, so each append line also
 * gives the ratio to plain writes with a sync, measured in the same run. The argument is a folder
 * on the disk to measure; without one a temporary folder is used.
 */
public final class StorageMeasure {

  private static final int[] BATCHES = {1, 8, 64, 512};
  private static final int[] LENGTHS = {500, 10_000};
  private static final int ROUNDS = 200;
  private static final int RECOVERIES = 5;
  private static final int PLAIN_BYTES = 256;

  private final Path folder;
  private final Codec codec = new Codec();
  private final BlockingQueue<Event> events = new LinkedBlockingQueue<>();

  private StorageMeasure(Path folder) {
    this.folder = folder;
  }

  /** Runs the measurement; takes the folder as its only, optional argument. */
  public static void main(String[] arguments) throws IOException, InterruptedException {
    Path folder =
        arguments.length == 0 ? Files.createTempDirectory("measure") : Path.of(arguments[0]);
    new StorageMeasure(folder).run();
  }

  private void run() throws IOException, InterruptedException {
    plainSyncsPerSecond();
    double plain = plainSyncsPerSecond();
    print("{\"measure\":\"plain-syncs\",\"per_second\":%.0f}", plain);
    appendsPerSecond(BATCHES[0], "warm-up");
    for (int batch : BATCHES) {
      appends(batch, plain);
    }
    for (int length : LENGTHS) {
      recovery(length);
    }
  }

  private double plainSyncsPerSecond() throws IOException {
    long begun = System.nanoTime();
    try (Disk.AppendFile file = new FileDisk().append(folder.resolve("plain"))) {
      for (int i = 0; i < ROUNDS; i++) {
        file.write(new byte[PLAIN_BYTES]);
        file.sync();
      }
    }
    return ROUNDS / seconds(begun);
  }

  private void appends(int batch, double plain) throws IOException, InterruptedException {
    double[] rates = appendsPerSecond(batch, "batch-" + batch);
    print(
        "{\"measure\":\"appends\",\"batch\":%d,\"per_second\":%.0f,\"syncs_per_second\":%.0f,"
            + "\"appends_to_plain_syncs\":%.2f}",
        batch, rates[0], rates[1], rates[0] / plain);
  }

  /** Queues effects of one entry each, so many at a time, and waits for the last one's answer. */
  private double[] appendsPerSecond(int batch, String name)
      throws IOException, InterruptedException {
    try (DiskStorage storage = open(name)) {
      storage.recover(GroupId.LEDGER);
      events.take();
      long syncsBefore = storage.syncs();
      long begun = System.nanoTime();
      long sequence = 0;
      for (int round = 0; round < ROUNDS; round++) {
        for (int i = 0; i < batch; i++) {
          sequence++;
          storage.execute(persist(sequence, List.of(entry(sequence))));
        }
        awaitSequence(sequence);
      }
      double seconds = seconds(begun);
      return new double[] {sequence / seconds, (storage.syncs() - syncsBefore) / seconds};
    }
  }

  private void recovery(int length) throws IOException, InterruptedException {
    String name = "recovery-" + length;
    try (DiskStorage storage = open(name)) {
      storage.recover(GroupId.LEDGER);
      events.take();
      for (int i = 1; i <= length; i++) {
        storage.execute(persist(i, List.of(entry(i))));
      }
      awaitSequence(length);
    }
    List<Double> millis = new ArrayList<>();
    for (int i = 0; i < RECOVERIES; i++) {
      long begun = System.nanoTime();
      try (DiskStorage storage = open(name)) {
        storage.recover(GroupId.LEDGER);
        StorageEvent.Recovered found = (StorageEvent.Recovered) events.take();
        millis.add(seconds(begun) * 1000);
        if (found.entries().size() != length) {
          throw new IllegalStateException("recovered " + found.entries().size() + " entries");
        }
      }
    }
    millis.sort(Double::compare);
    print(
        "{\"measure\":\"recovery\",\"entries\":%d,\"median_ms\":%.1f,\"worst_ms\":%.1f,"
            + "\"disk_bytes\":%d}",
        length, millis.get(RECOVERIES / 2), millis.get(RECOVERIES - 1), bytes(name));
  }

  private DiskStorage open(String name) throws IOException {
    Path data = Files.createDirectories(folder.resolve(name));
    StorageSettings settings =
        new StorageSettings(data, StorageSettings.DEFAULT_SEGMENT_BYTES, "measure");
    return new DiskStorage(settings, codec, new FileDisk(), events::add);
  }

  private void awaitSequence(long sequence) throws InterruptedException {
    while (true) {
      Event event = events.take();
      if (!(event instanceof StorageEvent.Persisted persisted)) {
        throw new IllegalStateException("a write failed: " + event);
      }
      if (persisted.sequence() == sequence) {
        return;
      }
    }
  }

  private static StorageEffect.Persist persist(long sequence, List<LogEntry> entries) {
    return new StorageEffect.Persist(GroupId.LEDGER, sequence, null, 0, entries);
  }

  private static LogEntry entry(long index) {
    return new LogEntry(
        index, 1, Instant.EPOCH.plusMillis(index), new GroupCommand.AdmitMember("node-" + index));
  }

  private long bytes(String name) throws IOException {
    try (Stream<Path> files = Files.walk(folder.resolve(name))) {
      return files.filter(Files::isRegularFile).mapToLong(file -> file.toFile().length()).sum();
    }
  }

  private static double seconds(long begun) {
    return (System.nanoTime() - begun) / 1e9;
  }

  private static void print(String format, Object... values) {
    System.out.println(String.format(Locale.ROOT, format, values));
  }
}
