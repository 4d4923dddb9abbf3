package org.skylarkfork.runtime.packed;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Instant;
import java.util.Collection;
import java.util.function.BiConsumer;
import org.jspecify.annotations.Nullable;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/** Writes values as MessagePack: a record as an array of its components, in order. */
public final class PackedWriter {

  private static final long NANOS_A_SECOND = 1_000_000_000L;

  private final MessageBufferPacker packer = MessagePack.newDefaultBufferPacker();

  /** A call of the library, which declares a failure that a buffer in memory never has. */
  private interface Write {
    void run() throws IOException;
  }

  private PackedWriter write(Write write) {
    try {
      write.run();
      return this;
    } catch (IOException impossible) {
      throw new UncheckedIOException("a buffer in memory takes all bytes", impossible);
    }
  }

  /** Begins a record of a sealed family: its tag, then its components. */
  public PackedWriter tagged(int tag, int components) {
    return write(() -> packer.packArrayHeader(components + 1).packInt(tag));
  }

  /** Begins a record. */
  public PackedWriter record(int components) {
    return write(() -> packer.packArrayHeader(components));
  }

  /** Writes a text. */
  public PackedWriter text(String value) {
    return write(() -> packer.packString(value));
  }

  /** Writes a text that may be missing. */
  public PackedWriter optionalText(@Nullable String value) {
    return value == null ? none() : text(value);
  }

  /** Writes that a value is missing. */
  public PackedWriter none() {
    return write(packer::packNil);
  }

  /** Writes a whole number. */
  public PackedWriter number(long value) {
    return write(() -> packer.packLong(value));
  }

  /** Writes a number that may be missing. */
  public PackedWriter optionalNumber(@Nullable Integer value) {
    return value == null ? none() : number(value);
  }

  /** Writes a number with a fraction. */
  public PackedWriter real(double value) {
    return write(() -> packer.packDouble(value));
  }

  /** Writes a truth value. */
  public PackedWriter flag(boolean value) {
    return write(() -> packer.packBoolean(value));
  }

  /** Writes bytes. */
  public PackedWriter bytes(byte[] value) {
    return write(() -> packer.packBinaryHeader(value.length).writePayload(value));
  }

  /**
   * Writes a moment as nanoseconds since 1970.
   *
   * @throws ArithmeticException if it is not between the years 1678 and 2262
   */
  public PackedWriter instant(Instant value) {
    long seconds = Math.multiplyExact(value.getEpochSecond(), NANOS_A_SECOND);
    return number(Math.addExact(seconds, value.getNano()));
  }

  /** Writes values one after the other, with their count before them. */
  public <T> PackedWriter list(Collection<T> values, BiConsumer<T, PackedWriter> each) {
    write(() -> packer.packArrayHeader(values.size()));
    values.forEach(value -> each.accept(value, this));
    return this;
  }

  /** Writes a value that may be missing. */
  public <T> PackedWriter optional(@Nullable T value, BiConsumer<T, PackedWriter> one) {
    if (value == null) {
      return none();
    }
    one.accept(value, this);
    return this;
  }

  byte[] toBytes() {
    return packer.toByteArray();
  }
}
