package org.skylarkfork.runtime.storage;

import java.nio.file.Path;

/** The file of a log segment, its size, and the highest index written to it. */
final class Segment {

  /** Prefix of the file name of each segment. */
  static final String PREFIX = "log-";

  private final long number;
  private final Path file;
  private long size;
  private long highestIndex;
  private boolean empty = true;

  Segment(Path folder, long number) {
    this.number = number;
    this.file = folder.resolve(String.format("%s%019d", PREFIX, number));
  }

  /** Returns the segment number in a file name. */
  static long numberIn(String name) {
    try {
      return Long.parseLong(name.substring(PREFIX.length()));
    } catch (NumberFormatException e) {
      throw new StorageException(
          StorageException.Kind.CORRUPT, "unknown file " + name + " in a log folder", e);
    }
  }

  /** Records an append of a number of bytes and the entries of a write. */
  void recordAppend(int bytes, LogWrite write) {
    size += bytes;
    empty = false;
    if (!write.entries().isEmpty()) {
      long last = write.entries().get(write.entries().size() - 1).index();
      highestIndex = Math.max(highestIndex, last);
    }
  }

  /** Records an append of a number of bytes without entries. */
  void recordAppend(int bytes) {
    size += bytes;
  }

  /** Records that a number of bytes at the end aren't used any more. */
  void recordCut(int bytes) {
    size -= bytes;
  }

  long number() {
    return number;
  }

  Path file() {
    return file;
  }

  /** Returns the size in bytes. */
  long size() {
    return size;
  }

  /** Returns whether no write was appended after the first record. */
  boolean isEmpty() {
    return empty;
  }

  /** Returns the highest index ever written to the segment, or 0 if none was. */
  long highestIndex() {
    return highestIndex;
  }
}
