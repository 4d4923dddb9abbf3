package org.skylarkfork.runtime.codec;

/** Turns values into bytes for the wire and the disk, and back. Safe for use by several threads. */
public interface BinaryCodec {

  /**
   * Writes a value.
   *
   * @throws CodecException of kind {@code UNSUPPORTED} if its class can't be written
   */
  byte[] toBytes(Object value);

  /**
   * Reads a value.
   *
   * @param bytes exactly one value
   * @param type the record or sealed interface that is expected
   * @throws CodecException if the bytes aren't such a value
   */
  <T> T fromBytes(byte[] bytes, Class<T> type);
}
