package org.skylarkfork.runtime.storage;

import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;

/** An in-memory disk that loses unsynced data in a crash and fails on request. */
final class FakeDisk implements Disk {

  private Map<Path, Content> current = new HashMap<>();
  private final Map<Path, Content> durable = new HashMap<>();
  private final Map<Path, Path> unsyncedFolderNames = new LinkedHashMap<>();
  private long operationsLeft = Long.MAX_VALUE;
  private boolean failed;
  private boolean nextSyncFails;
  private boolean failedSyncEvicts;
  private final Map<Path, Long> writes = new HashMap<>();
  private Runnable beforeSync = () -> {};

  /** Lets a number of operations succeed; each later one fails, as after a power failure. */
  synchronized void failAfter(long operations) {
    operationsLeft = operations;
  }

  /** Returns whether an operation has failed after those that {@link #failAfter} allowed. */
  synchronized boolean hasFailed() {
    return failed;
  }

  synchronized void failNextSync() {
    nextSyncFails = true;
  }

  synchronized void beforeSync(Runnable action) {
    beforeSync = action;
  }

  /** Lets reads return zeros for bytes that a failed sync has dropped. */
  synchronized void evictAfterFailedSync() {
    failedSyncEvicts = true;
  }

  /** Returns the number of writes so far to the files in a folder. */
  synchronized long writes(Path folder) {
    return writes.entrySet().stream()
        .filter(entry -> entry.getKey().startsWith(folder))
        .mapToLong(Map.Entry::getValue)
        .sum();
  }

  /**
   * Loses unsynced data: old names may return, and each unsynced write is present, missing or torn
   * at any byte.
   */
  synchronized void crash(UniformRandomProvider random) {
    if (random.nextBoolean()) {
      current = new HashMap<>(durable);
    }
    current.values().forEach(content -> content.crash(random));
    durable.clear();
    durable.putAll(current);
    unsyncedFolderNames.clear();
    operationsLeft = Long.MAX_VALUE;
  }

  /** Returns a copy, which a test can crash while this disk is in use. */
  synchronized FakeDisk copy() {
    FakeDisk copy = new FakeDisk();
    Map<Content, Content> contents = new IdentityHashMap<>();
    current.forEach(
        (file, content) -> copy.current.put(file, contents.computeIfAbsent(content, Content::new)));
    durable.forEach(
        (file, content) -> copy.durable.put(file, contents.computeIfAbsent(content, Content::new)));
    return copy;
  }

  /** Returns the bytes of a file, for a test to modify and restore. */
  synchronized byte[] bytes(Path file) {
    return current.get(file).bytes.toByteArray();
  }

  synchronized void replace(Path file, byte[] bytes) {
    Content content = new Content();
    content.bytes.writeBytes(bytes);
    content.markSynced();
    current.put(file, content);
    durable.put(file, content);
  }

  @Override
  public synchronized boolean exists(Path path) {
    return current.keySet().stream().anyMatch(file -> file.startsWith(path));
  }

  @Override
  public synchronized List<String> names(Path folder) {
    return current.keySet().stream()
        .filter(file -> file.startsWith(folder) && !file.equals(folder))
        .map(file -> folder.relativize(file).getName(0).toString())
        .distinct()
        .sorted()
        .toList();
  }

  @Override
  public synchronized byte[] read(Path file) {
    return bytes(file);
  }

  @Override
  public synchronized AppendFile append(Path file) throws IOException {
    if (!current.containsKey(file)) {
      countOperation();
      current.put(file, new Content());
    }
    return new FakeFile(file, current.get(file));
  }

  @Override
  public synchronized void truncate(Path file, long size) throws IOException {
    countOperation();
    // In place, as in a file system: open handles continue at the new end of the file.
    Content content = current.get(file);
    byte[] kept = Arrays.copyOf(bytes(file), (int) size);
    content.bytes.reset();
    content.bytes.writeBytes(kept);
    content.markSynced();
    content.forgetLostAfter(kept.length);
  }

  @Override
  public synchronized void rename(Path from, Path to) throws IOException {
    countOperation();
    boolean folder = current.keySet().stream().anyMatch(file -> isBelow(file, from));
    current.put(to, current.remove(from));
    if (folder) {
      moveChildren(current, from, to);
      unsyncedFolderNames.put(from, to);
    }
  }

  @Override
  public synchronized void delete(Path file) throws IOException {
    countOperation();
    current.remove(file);
  }

  @Override
  public synchronized void createFolder(Path folder) {
    current.putIfAbsent(folder, new Content());
    durable.putIfAbsent(folder, new Content());
  }

  @Override
  public synchronized void syncFolder(Path folder) throws IOException {
    countOperation();
    unsyncedFolderNames.forEach((from, to) -> moveChildren(durable, from, to));
    unsyncedFolderNames.clear();
    durable.keySet().removeIf(file -> folder.equals(file.getParent()));
    current.forEach(
        (file, content) -> {
          if (folder.equals(file.getParent())) {
            durable.put(file, content);
          }
        });
  }

  @Override
  public Closeable lock(Path file) {
    return () -> {};
  }

  private static void moveChildren(Map<Path, Content> files, Path from, Path to) {
    for (Path file : List.copyOf(files.keySet())) {
      if (isBelow(file, from)) {
        files.put(to.resolve(from.relativize(file)), files.remove(file));
      }
    }
  }

  private static boolean isBelow(Path file, Path folder) {
    return file.startsWith(folder) && !file.equals(folder);
  }

  private void countOperation() throws IOException {
    if (operationsLeft <= 0) {
      failed = true;
      throw new IOException("No space left on device");
    }
    operationsLeft--;
  }

  private static final class Content {
    private ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    private final List<Integer> unsyncedEnds = new ArrayList<>();
    private int synced;

    /** Range that a failed sync dropped: reads return it, but no later sync writes it. */
    private int lostFrom;

    private int lostTo;

    private Content() {}

    private Content(Content other) {
      bytes.writeBytes(other.bytes.toByteArray());
      unsyncedEnds.addAll(other.unsyncedEnds);
      synced = other.synced;
      lostFrom = other.lostFrom;
      lostTo = other.lostTo;
    }

    private void loseUnsynced() {
      lostFrom = lostFrom == lostTo ? synced : Math.min(lostFrom, synced);
      lostTo = bytes.size();
    }

    private void evictLost() {
      byte[] all = bytes.toByteArray();
      Arrays.fill(all, lostFrom, lostTo, (byte) 0);
      bytes.reset();
      bytes.writeBytes(all);
    }

    private void forgetLostAfter(int size) {
      lostFrom = Math.min(lostFrom, size);
      lostTo = Math.min(lostTo, size);
    }

    private void append(byte[] written, int length) {
      bytes.write(written, 0, length);
      unsyncedEnds.add(bytes.size());
    }

    private void markSynced() {
      synced = bytes.size();
      unsyncedEnds.clear();
    }

    private void crash(UniformRandomProvider random) {
      byte[] all = bytes.toByteArray();
      Arrays.fill(all, lostFrom, lostTo, (byte) 0);
      forgetLostAfter(0);
      int kept = synced;
      int from = synced;
      for (int to : unsyncedEnds) {
        kept = Math.max(kept, keptAfterCrash(all, from, to, random));
        from = to;
      }
      bytes = new ByteArrayOutputStream();
      bytes.write(all, 0, kept);
      markSynced();
    }

    /** Damages an unsynced write and returns the end of what is left of it. */
    private static int keptAfterCrash(byte[] all, int from, int to, UniformRandomProvider random) {
      int first = from + random.nextInt(to - from + 1);
      int second = from + random.nextInt(to - from + 1);
      switch (random.nextInt(5)) {
        case 0:
          return to;
        case 1:
          Arrays.fill(all, from, to, (byte) 0);
          return from;
        case 2:
          Arrays.fill(all, first, to, (byte) 0);
          return random.nextBoolean() ? first : to;
        case 3:
          Arrays.fill(all, from, first, (byte) 0);
          return to;
        default:
          Arrays.fill(all, Math.min(first, second), Math.max(first, second), (byte) 0);
          return to;
      }
    }
  }

  private final class FakeFile implements AppendFile {
    private final Path file;
    private final Content content;

    FakeFile(Path file, Content content) {
      this.file = file;
      this.content = content;
    }

    @Override
    public void write(byte[] bytes) throws IOException {
      synchronized (FakeDisk.this) {
        writes.merge(file, 1L, Long::sum);
        if (operationsLeft <= 0) {
          content.append(bytes, bytes.length / 2);
        }
        countOperation();
        content.append(bytes, bytes.length);
      }
    }

    @Override
    public void sync() throws IOException {
      beforeSync.run();
      synchronized (FakeDisk.this) {
        countOperation();
        if (nextSyncFails) {
          nextSyncFails = false;
          content.loseUnsynced();
          if (failedSyncEvicts) {
            content.evictLost();
          }
          throw new IOException("Input/output error");
        }
        content.markSynced();
      }
    }

    @Override
    public void close() {}
  }
}
