package org.skylarkfork.runtime.storage;

import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.Arrays;
import org.jspecify.annotations.Nullable;

/**
 * Reads the records of one file and distinguishes a torn last record from corruption.
 *
 * <p>Each record is synced before the next is written, so any record behind another one proves that
 * the other was synced. A power failure changes only bytes that were never synced, in any way: it
 * may truncate them, replace some by zeros or leave old bytes of the disk. A damaged record without
 * an intact one behind it is therefore torn, and was never acknowledged; any other damaged record
 * was changed after it was synced, possibly after it was acknowledged, and is rejected.
 *
 * <p>Marks are the exception, as they aren't synced before the next record is written. They have a
 * length that no other record has, and contain nothing, so a damaged one before an intact record is
 * skipped.
 */
final class RecordReader {

  private static final int VERSION_BITS = 16;

  private final Path file;
  private final byte[] bytes;
  private final ByteBuffer buffer;
  private final int firstWriteBytes;
  private final int markBytes;
  private int offset;
  private boolean torn;
  private String problem = "";

  /**
   * Creates a reader of a file's entire content and checks the file header.
   *
   * @param file name of the file, for messages
   * @param bytes content of the file
   * @param header expected file header
   * @param firstWriteBytes length of the first write, which contains the file header and the first
   *     record; a longer file can't have a torn first write
   * @param markBytes length of a mark's record, or 0 if the file has no marks
   */
  RecordReader(Path file, byte[] bytes, long header, int firstWriteBytes, int markBytes) {
    this.file = file;
    this.bytes = bytes;
    this.buffer = ByteBuffer.wrap(bytes);
    this.firstWriteBytes = firstWriteBytes;
    this.markBytes = markBytes;
    if (bytes.length < RecordFormat.FILE_HEADER_BYTES) {
      stopAtTorn("no complete file header");
      return;
    }
    long actualHeader = buffer.getLong(0);
    if (actualHeader >> VERSION_BITS == header >> VERSION_BITS && actualHeader > header) {
      throw new StorageException(
          StorageException.Kind.NEWER_FORMAT,
          file + " has layout " + (actualHeader & 0xffff),
          null);
    } else if (actualHeader != header) {
      stopAtFirstWrite("no file header");
    } else {
      offset = RecordFormat.FILE_HEADER_BYTES;
    }
  }

  /** Returns the next payload, or null at the end of the file or at a torn record. */
  byte @Nullable [] next() {
    while (!torn && offset < bytes.length) {
      String damage = damageAt(offset);
      if (damage == null) {
        int start = offset + RecordFormat.RECORD_HEADER_BYTES;
        offset = start + lengthAt(offset);
        return Arrays.copyOfRange(bytes, start, offset);
      }
      skipMarkOrStop(damage);
    }
    return null;
  }

  /** Returns whether {@link #next} stopped at a torn record, which begins at {@link #offset}. */
  boolean torn() {
    return torn;
  }

  /** Returns what is wrong with the torn record, or an empty text if there is none. */
  String problem() {
    return problem;
  }

  /** Returns the offset in bytes after the last intact record. */
  int offset() {
    return offset;
  }

  /** Returns an exception with the file and the current offset in its message. */
  StorageException corrupt(String problem) {
    return new StorageException(
        StorageException.Kind.CORRUPT, file + " at offset " + offset + ": " + problem, null);
  }

  private void stopAtFirstWrite(String damage) {
    if (bytes.length > firstWriteBytes) {
      throw corrupt(damage);
    }
    stopAtTorn(damage);
  }

  private void skipMarkOrStop(String damage) {
    if (offset == RecordFormat.FILE_HEADER_BYTES) {
      stopAtFirstWrite(damage);
      return;
    }
    int intact = firstIntactAfter(offset);
    if (markBytes > 0 && intact == offset + markBytes) {
      offset = intact;
    } else if (intact >= 0 || continuesBehindRecord()) {
      throw corrupt(damage);
    } else {
      stopAtTorn(damage);
    }
  }

  private void stopAtTorn(String damage) {
    torn = true;
    problem = damage;
  }

  /**
   * Returns whether bytes follow the damaged record, which has an intact length and isn't a mark.
   */
  private boolean continuesBehindRecord() {
    if (!hasLength(offset)) {
      return false;
    }
    long recordBytes = (long) RecordFormat.RECORD_HEADER_BYTES + lengthAt(offset);
    return recordBytes != markBytes && offset + recordBytes < bytes.length;
  }

  /** Returns the offset of the first intact record after an offset, or -1 if there is none. */
  private int firstIntactAfter(int from) {
    int lastStart = bytes.length - RecordFormat.RECORD_HEADER_BYTES;
    for (int at = from + 1; at < lastStart; at++) {
      // Checked before the checksums, as the rest of the file may be long and is usually zeros.
      int length = lengthAt(at);
      if (length > 0 && length <= lastStart - at && damageAt(at) == null) {
        return at;
      }
    }
    return -1;
  }

  /** Returns what is wrong with the record at an offset, or null if it is intact. */
  private @Nullable String damageAt(int at) {
    if (bytes.length - at < RecordFormat.RECORD_HEADER_BYTES) {
      return "no complete record";
    }
    if (!hasLength(at)) {
      return "wrong checksum of a record's length";
    }
    int length = lengthAt(at);
    int start = at + RecordFormat.RECORD_HEADER_BYTES;
    if (length > bytes.length - start) {
      return "no complete record";
    }
    int checksum = buffer.getInt(at + 2 * Integer.BYTES);
    boolean intact = RecordFormat.checksum(bytes, start, length) == checksum;
    return intact ? null : "wrong checksum of a record";
  }

  private boolean hasLength(int at) {
    if (bytes.length - at < 2 * Integer.BYTES) {
      return false;
    }
    int length = lengthAt(at);
    int checksum = buffer.getInt(at + Integer.BYTES);
    return length >= 0 && checksum == RecordFormat.lengthChecksum(length);
  }

  private int lengthAt(int at) {
    return buffer.getInt(at);
  }
}
