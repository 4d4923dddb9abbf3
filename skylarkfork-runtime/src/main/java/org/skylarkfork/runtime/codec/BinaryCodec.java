package org.skylarkfork.runtime.codec;

/** Serializes values to bytes for the wire and the disk and deserializes them. Thread-safe. */
public interface BinaryCodec {

  /**
   * Serializes a value.
   *
   * @throws CodecException of kind {@code UNSUPPORTED} if its class can't be serialized
   */
  byte[] toBytes(Object value);

  /**
   * Deserializes a value.
   *
   * @param bytes exactly one serialized value
   * @param type the expected record or sealed interface
   * @throws CodecException if the bytes aren't exactly one value of the type
   */
  <T> T fromBytes(byte[] bytes, Class<T> type);
}
