package org.skylarkfork.runtime.storage;

import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/**
 * The file operations that the storage needs, so that a test can tear, flip and fail them.
 *
 * <p>Bytes last only after {@link AppendFile#sync}; a new, renamed or deleted name only after
 * {@link #syncFolder}. Each method throws {@code IOException} with what the file system said.
 */
public interface Disk {

  /** Returns whether the file or folder exists. */
  boolean exists(Path path);

  /** Returns the names in a folder, in their natural order. */
  List<String> names(Path folder) throws IOException;

  /** Returns the whole content of a file. */
  byte[] read(Path file) throws IOException;

  /** Opens a file for appends and makes it if it is missing. */
  AppendFile append(Path file) throws IOException;

  /** Cuts a file to a size in bytes and syncs it. */
  void truncate(Path file, long size) throws IOException;

  /** Renames a file in one step and replaces an older one of the new name. */
  void rename(Path from, Path to) throws IOException;

  /** Deletes a file. */
  void delete(Path file) throws IOException;

  /** Makes a folder unless it is there. */
  void createFolder(Path folder) throws IOException;

  /** Makes the names in a folder last. */
  void syncFolder(Path folder) throws IOException;

  /**
   * Locks a file against other processes until the result is closed.
   *
   * @throws StorageException of kind {@code LOCKED} if it is locked already
   */
  Closeable lock(Path file) throws IOException;

  /** A file that is open for appends. */
  interface AppendFile extends Closeable {

    /** Writes all bytes at the end. */
    void write(byte[] bytes) throws IOException;

    /** Makes everything written so far last. */
    void sync() throws IOException;
  }
}
