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

  private static final long NANOS_PER_SECOND = 1_000_000_000L;

  private final MessageBufferPacker packer = MessagePack.newDefaultBufferPacker();

  /** A library call that declares an exception which an in-memory buffer never throws. */
  private interface Write {
    void run() throws IOException;
  }

  private PackedWriter write(Write write) {
    try {
      write.run();
      return this;
    } catch (IOException impossible) {
      throw new UncheckedIOException("write to an in-memory buffer failed", impossible);
    }
  }

  /** Begins a record of a sealed family and writes its tag; its components must follow. */
  public PackedWriter tagged(int tag, int components) {
    return write(() -> packer.packArrayHeader(components + 1).packInt(tag));
  }

  /** Begins a record; as many components must follow. */
  public PackedWriter record(int components) {
    return write(() -> packer.packArrayHeader(components));
  }

  /** Writes a string. */
  public PackedWriter text(String value) {
    return write(() -> packer.packString(value));
  }

  /** Writes a string or null. */
  public PackedWriter optionalText(@Nullable String value) {
    return value == null ? none() : text(value);
  }

  /** Writes null. */
  public PackedWriter none() {
    return write(packer::packNil);
  }

  /** Writes an integer. */
  public PackedWriter number(long value) {
    return write(() -> packer.packLong(value));
  }

  /** Writes an integer or null. */
  public PackedWriter optionalNumber(@Nullable Integer value) {
    return value == null ? none() : number(value);
  }

  /** Writes a floating-point number of 64 bits. */
  public PackedWriter real(double value) {
    return write(() -> packer.packDouble(value));
  }

  /** Writes a boolean. */
  public PackedWriter flag(boolean value) {
    return write(() -> packer.packBoolean(value));
  }

  /** Writes a byte array. */
  public PackedWriter bytes(byte[] value) {
    return write(() -> packer.packBinaryHeader(value.length).writePayload(value));
  }

  /**
   * Writes an instant as nanoseconds since 1970.
   *
   * @throws ArithmeticException if the instant is outside the range of a long (about the years 1678
   *     to 2262)
   */
  public PackedWriter instant(Instant value) {
    long seconds = Math.multiplyExact(value.getEpochSecond(), NANOS_PER_SECOND);
    return number(Math.addExact(seconds, value.getNano()));
  }

  /** Writes a list: the number of elements, then each element. */
  public <T> PackedWriter list(Collection<T> values, BiConsumer<T, PackedWriter> each) {
    write(() -> packer.packArrayHeader(values.size()));
    values.forEach(value -> each.accept(value, this));
    return this;
  }

  /** Writes a value or null. */
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
