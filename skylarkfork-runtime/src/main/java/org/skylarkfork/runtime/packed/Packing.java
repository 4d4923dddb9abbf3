package org.skylarkfork.runtime.packed;

/**
 * Serializer and deserializer for the values of one type.
 *
 * @param <T> the type
 */
public interface Packing<T> {

  /** Returns the type: a record, a sealed interface or an array of records. */
  Class<T> type();

  /**
   * Writes a value.
   *
   * @param value the value to write
   * @param out receives the value
   */
  void write(T value, PackedWriter out);

  /**
   * Reads a value.
   *
   * @param in supplies the value's bytes
   * @throws org.skylarkfork.runtime.codec.CodecException if the bytes aren't a value of the type
   */
  T read(PackedReader in);
}
