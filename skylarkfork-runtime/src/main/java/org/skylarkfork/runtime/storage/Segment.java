package org.skylarkfork.runtime.storage;

import java.nio.file.Path;

/** A log segment's file and the highest index that it has held. */
final class Segment {

  /** Beginning of the name of each segment's file. */
  static final String PREFIX = "log-";

  private final long number;
  private final Path file;
  private long size;
  private long highestIndex;

  Segment(Path folder, long number) {
    this.number = number;
    this.file = folder.resolve(String.format("%s%019d", PREFIX, number));
  }

  /** Returns the number in a file's name. */
  static long numberIn(String name) {
    try {
      return Long.parseLong(name.substring(PREFIX.length()));
    } catch (NumberFormatException e) {
      throw new StorageException(
          StorageException.Kind.CORRUPT, "unknown file " + name + " in a log", e);
    }
  }

  /** Notes an append. */
  void recordAppend(int bytes, LogWrite write) {
    size += bytes;
    if (!write.entries().isEmpty()) {
      long last = write.entries().get(write.entries().size() - 1).index();
      highestIndex = Math.max(highestIndex, last);
    }
  }

  /** Notes bytes without entries. */
  void recordAppend(int bytes) {
    size += bytes;
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

  /** Returns the highest index that was ever written to it, or 0. */
  long highestIndex() {
    return highestIndex;
  }
}
