package org.skylarkfork.runtime.storage;

import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/**
 * File operations of the storage. Tests implement them to tear writes, flip bits and inject errors.
 *
 * <p>Bytes are durable only after {@link AppendFile#sync}; a new, renamed or deleted name is
 * durable only after {@link #syncFolder}. Each method throws the {@code IOException} of the file
 * system.
 */
public interface Disk {

  /** Returns whether the file or folder exists. */
  boolean exists(Path path) throws IOException;

  /** Returns the names in a folder, in natural order. */
  List<String> names(Path folder) throws IOException;

  /** Returns the whole content of a file. */
  byte[] read(Path file) throws IOException;

  /** Opens a file for appending and creates it if it is missing. */
  AppendFile append(Path file) throws IOException;

  /** Truncates a file to a size in bytes and syncs it. */
  void truncate(Path file, long size) throws IOException;

  /**
   * Renames a file or a folder atomically; replaces an existing file, but no folder, of the new
   * name.
   */
  void rename(Path from, Path to) throws IOException;

  /** Deletes a file or an empty folder. */
  void delete(Path file) throws IOException;

  /** Creates a folder unless it exists. */
  void createFolder(Path folder) throws IOException;

  /** Makes the names in a folder durable. */
  void syncFolder(Path folder) throws IOException;

  /**
   * Locks a file against other processes until the returned lock is closed.
   *
   * @throws StorageException of kind {@code LOCKED} if the file is already locked
   */
  Closeable lock(Path file) throws IOException;

  /** A file that is open for appending. */
  interface AppendFile extends Closeable {

    /** Appends all bytes. */
    void write(byte[] bytes) throws IOException;

    /** Makes all bytes written so far durable. */
    void sync() throws IOException;
  }
}
