package org.skylarkfork.runtime.storage;

import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.stream.Stream;

/** Implements {@link Disk} with the file system of the machine. */
public final class FileDisk implements Disk {

  @Override
  public boolean exists(Path path) throws IOException {
    boolean exists = Files.exists(path);
    if (!exists && !Files.notExists(path)) {
      throw new IOException("it can't be told whether " + path + " exists");
    }
    return exists;
  }

  @Override
  public List<String> names(Path folder) throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      return files.map(file -> file.getFileName().toString()).sorted().toList();
    } catch (UncheckedIOException failure) {
      throw named("list", folder, failure.getCause());
    }
  }

  @Override
  public byte[] read(Path file) throws IOException {
    return Files.readAllBytes(file);
  }

  @Override
  public AppendFile append(Path file) throws IOException {
    return new ChannelFile(
        file, FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.APPEND));
  }

  @Override
  public void truncate(Path file, long size) throws IOException {
    try (FileChannel channel = FileChannel.open(file, StandardOpenOption.WRITE)) {
      channel.truncate(size);
      channel.force(true);
    } catch (IOException failure) {
      throw named("truncate", file, failure);
    }
  }

  @Override
  public void rename(Path from, Path to) throws IOException {
    Files.move(from, to, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
  }

  @Override
  public void delete(Path file) throws IOException {
    Files.delete(file);
  }

  @Override
  public void createFolder(Path folder) throws IOException {
    Files.createDirectories(folder);
  }

  @Override
  public void syncFolder(Path folder) throws IOException {
    try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
      channel.force(true);
    } catch (IOException failure) {
      throw named("sync", folder, failure);
    }
  }

  @Override
  public Closeable lock(Path file) throws IOException {
    FileChannel channel =
        FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    if (!tryLock(channel)) {
      channel.close();
      throw new StorageException(StorageException.Kind.LOCKED, file + " is locked", null);
    }
    return channel;
  }

  private static boolean tryLock(FileChannel channel) throws IOException {
    try {
      return channel.tryLock() != null;
    } catch (OverlappingFileLockException e) {
      return false;
    } catch (IOException refused) {
      channel.close();
      throw refused;
    }
  }

  /** Returns the error with operation and file, which errors of channels lack. */
  private static IOException named(String operation, Path file, IOException failure) {
    return new IOException(operation + " of " + file + ": " + failure.getMessage(), failure);
  }

  private record ChannelFile(Path file, FileChannel channel) implements AppendFile {

    @Override
    public void write(byte[] bytes) throws IOException {
      ByteBuffer buffer = ByteBuffer.wrap(bytes);
      try {
        while (buffer.hasRemaining()) {
          channel.write(buffer);
        }
      } catch (IOException failure) {
        throw named("write", file, failure);
      }
    }

    @Override
    public void sync() throws IOException {
      try {
        channel.force(false);
      } catch (IOException failure) {
        throw named("sync", file, failure);
      }
    }

    @Override
    public void close() throws IOException {
      channel.close();
    }
  }
}
