package org.skylarkfork.runtime.storage;

import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A disk that is full for a number of writes; each of them leaves half of its bytes. */
final class FullDisk implements Disk {

  private final Disk disk;
  private final AtomicInteger failuresLeft = new AtomicInteger();

  FullDisk(Disk disk) {
    this.disk = disk;
  }

  /** Makes a number of next writes fail because the disk is full. */
  void failNextWrites(int writes) {
    failuresLeft.set(writes);
  }

  @Override
  public AppendFile append(Path file) throws IOException {
    AppendFile open = disk.append(file);
    return new AppendFile() {
      @Override
      public void write(byte[] bytes) throws IOException {
        if (failuresLeft.getAndUpdate(left -> Math.max(0, left - 1)) > 0) {
          open.write(Arrays.copyOf(bytes, bytes.length / 2));
          throw new DiskFullException(new IOException("no space left"));
        }
        open.write(bytes);
      }

      @Override
      public void sync() throws IOException {
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
    return disk.names(folder);
  }

  @Override
  public byte[] read(Path file) throws IOException {
    return disk.read(file);
  }

  @Override
  public void truncate(Path file, long size) throws IOException {
    disk.truncate(file, size);
  }

  @Override
  public void rename(Path from, Path to) throws IOException {
    disk.rename(from, to);
  }

  @Override
  public void delete(Path file) throws IOException {
    disk.delete(file);
  }

  @Override
  public void createFolder(Path folder) throws IOException {
    disk.createFolder(folder);
  }

  @Override
  public void syncFolder(Path folder) throws IOException {
    disk.syncFolder(folder);
  }

  @Override
  public Closeable lock(Path file) throws IOException {
    return disk.lock(file);
  }
}
