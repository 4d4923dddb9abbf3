package org.skylarkfork.runtime.packed;

/**
 * Writes and reads the values of one type.
 *
 * @param <T> the type
 */
public interface Packing<T> {

  /** Returns the type, a record, a sealed interface or an array of records. */
  Class<T> type();

  /**
   * Writes a value.
   *
   * @param value the value
   * @param out takes it
   */
  void write(T value, PackedWriter out);

  /**
   * Reads a value.
   *
   * @param in gives it
   * @throws org.skylarkfork.runtime.codec.CodecException if the bytes aren't such a value
   */
  T read(PackedReader in);
}
