package org.skylarkfork.runtime.storage;

import static org.testng.Assert.assertTrue;

import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * A disk that refuses a number of next operations of one kind. A refused write leaves half of its
 * bytes, and a refused sync drops the bytes that weren't synced, although reads still return them.
 */
final class RefusingDisk implements Disk {

  /** Kinds of operations. */
  enum Operation {
    NAMES,
    READ,
    APPEND,
    WRITE,
    SYNC,
    TRUNCATE,
    RENAME,
    DELETE,
    CREATE_FOLDER,
    SYNC_FOLDER,
    LOCK,
    LOCK_OF_OTHER_PROCESS
  }

  /** Number of refusals of a disk that refuses until it is told otherwise. */
  static final int ALWAYS = Integer.MAX_VALUE;

  private static final long MAX_WAIT_NANOS = TimeUnit.SECONDS.toNanos(20);

  private final FakeDisk disk;
  private @Nullable Operation refusedKind;
  private int refusalsLeft;
  private int refusals;

  RefusingDisk(FakeDisk disk) {
    this.disk = disk;
  }

  /** Refuses a number of next operations of a kind, and no others. */
  synchronized void refuse(Operation kind, int times) {
    refusedKind = kind;
    refusalsLeft = times;
  }

  /** Refuses nothing any more. */
  synchronized void refuseNothing() {
    refusalsLeft = 0;
  }

  /** Returns the number of operations that were refused so far. */
  synchronized int refusals() {
    return refusals;
  }

  /** Waits until a number of operations were refused since the disk was made. */
  synchronized void awaitRefusals(int number) throws InterruptedException {
    long deadline = System.nanoTime() + MAX_WAIT_NANOS;
    while (refusals < number) {
      long left = deadline - System.nanoTime();
      assertTrue(left > 0, "refused " + refusals + " operations, expected " + number);
      TimeUnit.NANOSECONDS.timedWait(this, left);
    }
  }

  private synchronized boolean refuses(Operation kind) {
    if (kind != refusedKind || refusalsLeft <= 0) {
      return false;
    }
    refusalsLeft -= refusalsLeft == ALWAYS ? 0 : 1;
    refusals++;
    notifyAll();
    return true;
  }

  private void check(Operation kind) throws IOException {
    if (refuses(kind)) {
      throw refusal(kind);
    }
  }

  private static IOException refusal(Operation kind) {
    return new IOException("the disk refuses " + kind);
  }

  @Override
  public AppendFile append(Path file) throws IOException {
    check(Operation.APPEND);
    AppendFile open = disk.append(file);
    return new AppendFile() {
      @Override
      public void write(byte[] bytes) throws IOException {
        if (refuses(Operation.WRITE)) {
          open.write(Arrays.copyOf(bytes, bytes.length / 2));
          throw refusal(Operation.WRITE);
        }
        open.write(bytes);
      }

      @Override
      public void sync() throws IOException {
        if (refuses(Operation.SYNC)) {
          disk.failNextSync();
        }
        open.sync();
      }

      @Override
      public void close() throws IOException {
        open.close();
      }
    };
  }

  @Override
  public boolean exists(Path path) {
    return disk.exists(path);
  }

  @Override
  public List<String> names(Path folder) throws IOException {
    check(Operation.NAMES);
    return disk.names(folder);
  }

  @Override
  public byte[] read(Path file) throws IOException {
    check(Operation.READ);
    return disk.read(file);
  }

  @Override
  public void truncate(Path file, long size) throws IOException {
    check(Operation.TRUNCATE);
    disk.truncate(file, size);
  }

  @Override
  public void rename(Path from, Path to) throws IOException {
    check(Operation.RENAME);
    disk.rename(from, to);
  }

  @Override
  public void delete(Path file) throws IOException {
    check(Operation.DELETE);
    disk.delete(file);
  }

  @Override
  public void createFolder(Path folder) throws IOException {
    check(Operation.CREATE_FOLDER);
    disk.createFolder(folder);
  }

  @Override
  public void syncFolder(Path folder) throws IOException {
    check(Operation.SYNC_FOLDER);
    disk.syncFolder(folder);
  }

  @Override
  public Closeable lock(Path file) throws IOException {
    check(Operation.LOCK);
    if (refuses(Operation.LOCK_OF_OTHER_PROCESS)) {
      throw new StorageException(StorageException.Kind.LOCKED, file + " is locked", null);
    }
    return disk.lock(file);
  }
}
