package org.skylarkfork.runtime.storage;

import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/**
 * Defines the layout of the files: a file header, then records.
 *
 * <p>A record is the payload's length, the CRC32C of the length, the CRC32C of the payload, then
 * the payload. The length has its own checksum: otherwise a flipped bit in the length would look
 * like a record truncated by the end of the file, and the synced records after it would be dropped.
 */
final class RecordFormat {

  /** First eight bytes of a log segment; the low 16 bits are the version of the layout. */
  static final long SEGMENT_HEADER = 0x53464c4f47000001L;

  /** First eight bytes of a snapshot; the low 16 bits are the version of the layout. */
  static final long SNAPSHOT_HEADER = 0x5346534e41000001L;

  /** Size in bytes of the file header. */
  static final int FILE_HEADER_BYTES = Long.BYTES;

  /** Size in bytes of the length and the checksums before a payload. */
  static final int RECORD_HEADER_BYTES = 3 * Integer.BYTES;

  private RecordFormat() {}

  /** Returns the encoded record of a payload. */
  static byte[] record(byte[] payload) {
    ByteBuffer buffer = ByteBuffer.allocate(RECORD_HEADER_BYTES + payload.length);
    putRecord(buffer, payload);
    return buffer.array();
  }

  /** Returns the header and the first record of a file. */
  static byte[] fileStart(long header, byte[] payload) {
    ByteBuffer buffer =
        ByteBuffer.allocate(FILE_HEADER_BYTES + RECORD_HEADER_BYTES + payload.length);
    buffer.putLong(header);
    putRecord(buffer, payload);
    return buffer.array();
  }

  /** Returns the checksum of the four bytes of a length field. */
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
