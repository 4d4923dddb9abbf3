package org.skylarkfork.runtime.storage;

import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.Arrays;
import org.jspecify.annotations.Nullable;

/**
 * Reads the records of one file and tells a torn end from corruption.
 *
 * <p>Each record is synced before the next is written, so a crash can only tear the last one. What
 * a crash leaves is a record that the file's end cuts off, or one with a disk sector that was never
 * written and reads as zeros. A record that is whole in length but has a wrong checksum without
 * such a sector was changed after it was written, perhaps after it was promised, and is refused.
 */
final class RecordReader {

  private static final int SECTOR_BYTES = 512;
  private static final int VERSION_BITS = 16;

  /** Shorter runs of zeros occur in sound records. */
  private static final int MIN_UNWRITTEN_BYTES = 8;

  private final Path file;
  private final byte[] bytes;
  private int offset;
  private boolean torn;

  /** Creates a reader of a file's whole content and checks the file header. */
  RecordReader(Path file, byte[] bytes, long header) {
    this.file = file;
    this.bytes = bytes;
    if (bytes.length < RecordFormat.FILE_HEADER_BYTES) {
      torn = true;
      return;
    }
    long found = ByteBuffer.wrap(bytes).getLong();
    if (found == 0 && hasUnwrittenSector(0, bytes.length)) {
      torn = true;
    } else if (found >> VERSION_BITS == header >> VERSION_BITS && found > header) {
      throw new StorageException(
          StorageException.Kind.NEWER_FORMAT, file + " has layout " + (found & 0xffff), null);
    } else if (found != header) {
      throw corrupt("no file header");
    } else {
      offset = RecordFormat.FILE_HEADER_BYTES;
    }
  }

  /** Returns the next payload, or null at the end of the file or at a torn record. */
  byte @Nullable [] next() {
    if (torn || offset == bytes.length) {
      return null;
    }
    if (bytes.length - offset < RecordFormat.RECORD_HEADER_BYTES) {
      torn = true;
      return null;
    }
    ByteBuffer header = ByteBuffer.wrap(bytes, offset, RecordFormat.RECORD_HEADER_BYTES);
    int length = header.getInt();
    if (header.getInt() != RecordFormat.lengthChecksum(length) || length < 0) {
      return tornOrCorrupt(bytes.length, "wrong checksum of a record's length");
    }
    int checksum = header.getInt();
    int start = offset + RecordFormat.RECORD_HEADER_BYTES;
    if (length > bytes.length - start) {
      torn = true;
      return null;
    }
    if (RecordFormat.checksum(bytes, start, length) != checksum) {
      boolean last = start + length == bytes.length;
      return tornOrCorrupt(last ? bytes.length : offset, "wrong checksum of a record");
    }
    offset = start + length;
    return Arrays.copyOfRange(bytes, start, offset);
  }

  /** Returns whether {@link #next} stopped at a torn record, which begins at the offset. */
  boolean torn() {
    return torn;
  }

  /** Returns the offset in bytes after the last sound record. */
  int offset() {
    return offset;
  }

  /** Returns the error that names this file and the present offset. */
  StorageException corrupt(String found) {
    return new StorageException(
        StorageException.Kind.CORRUPT, file + " at offset " + offset + ": " + found, null);
  }

  private byte @Nullable [] tornOrCorrupt(int end, String found) {
    if (!hasUnwrittenSector(offset, end)) {
      throw corrupt(found);
    }
    torn = true;
    return null;
  }

  private boolean hasUnwrittenSector(int from, int to) {
    int start = from;
    while (start < to) {
      int end = Math.min(to, (start / SECTOR_BYTES + 1) * SECTOR_BYTES);
      if (end - start >= MIN_UNWRITTEN_BYTES && isAllZeros(start, end)) {
        return true;
      }
      start = end;
    }
    return false;
  }

  private boolean isAllZeros(int from, int to) {
    for (int i = from; i < to; i++) {
      if (bytes[i] != 0) {
        return false;
      }
    }
    return true;
  }
}
