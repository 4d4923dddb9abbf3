package org.skylarkfork.runtime.storage;

import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/**
 * The layout of the files: a file header, then records.
 *
 * <p>A record is the payload's length, the CRC32C of the length, the CRC32C of the payload, then
 * the payload. The length has its own checksum: otherwise a flipped bit in it would look like a
 * record that was cut off at the end of the file, and synced records after it would be dropped.
 */
final class RecordFormat {

  /** First bytes of a log segment, the last of them the version of the layout. */
  static final long SEGMENT_HEADER = 0x53464c4f47000001L;

  /** First bytes of a snapshot. */
  static final long SNAPSHOT_HEADER = 0x5346534e41000001L;

  /** Size in bytes of the file header. */
  static final int FILE_HEADER_BYTES = Long.BYTES;

  /** Size in bytes of what stands before a payload. */
  static final int RECORD_HEADER_BYTES = 3 * Integer.BYTES;

  private RecordFormat() {}

  /** Returns a record with the payload. */
  static byte[] record(byte[] payload) {
    ByteBuffer buffer = ByteBuffer.allocate(RECORD_HEADER_BYTES + payload.length);
    putRecord(buffer, payload);
    return buffer.array();
  }

  /** Returns the beginning of a file: its header and a first record. */
  static byte[] fileStart(long header, byte[] payload) {
    ByteBuffer buffer =
        ByteBuffer.allocate(FILE_HEADER_BYTES + RECORD_HEADER_BYTES + payload.length);
    buffer.putLong(header);
    putRecord(buffer, payload);
    return buffer.array();
  }

  /** Returns the checksum of the four bytes of a length. */
  static int lengthChecksum(int length) {
    return checksum(ByteBuffer.allocate(Integer.BYTES).putInt(length).array(), 0, Integer.BYTES);
  }

  /** Returns the checksum of a range of bytes. */
  static int checksum(byte[] bytes, int from, int length) {
    CRC32C checksum = new CRC32C();
    checksum.update(bytes, from, length);
    return (int) checksum.getValue();
  }

  private static void putRecord(ByteBuffer buffer, byte[] payload) {
    buffer.putInt(payload.length);
    buffer.putInt(lengthChecksum(payload.length));
    buffer.putInt(checksum(payload, 0, payload.length));
    buffer.put(payload);
  }
}
