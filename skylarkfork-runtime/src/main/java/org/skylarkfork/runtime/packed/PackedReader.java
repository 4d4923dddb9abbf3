package org.skylarkfork.runtime.packed;

import java.io.IOException;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiFunction;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.skylarkfork.runtime.codec.CodecException;

/**
 * Reads values that {@link PackedWriter} wrote.
 *
 * <p>A record of a newer version may have more components than this version reads; the rest is
 * skipped. All failures are {@link CodecException}s.
 */
public final class PackedReader {

  private static final long NANOS_PER_SECOND = 1_000_000_000L;

  private final MessageUnpacker unpacker;
  private final int size;

  PackedReader(byte[] bytes) {
    this.size = bytes.length;
    this.unpacker = MessagePack.newDefaultUnpacker(bytes);
  }

  private interface Read<T> {
    T run() throws IOException;
  }

  private static <T> T read(Read<T> read) {
    try {
      return read.run();
    } catch (IOException | MessagePackException | ArithmeticException malformed) {
      throw malformed(String.valueOf(malformed.getMessage()), malformed);
    }
  }

  private static CodecException malformed(String detail, @Nullable Exception cause) {
    return new CodecException(CodecException.Kind.MALFORMED, detail, cause);
  }

  /** Returns the exception for a tag that no record of a family has. */
  public static CodecException unknown(String family, int tag) {
    return new CodecException(
        CodecException.Kind.UNKNOWN_TYPE, "no " + family + " has the tag " + tag, null);
  }

  /**
   * Reads a record.
   *
   * @param components number of components that the body reads
   * @param body reads the components in order
   */
  public <T> T record(int components, Function<PackedReader, T> body) {
    int present = read(unpacker::unpackArrayHeader);
    if (present < components) {
      throw malformed(present + " components instead of " + components, null);
    }
    T value = body.apply(this);
    skip(present - components);
    return value;
  }

  /**
   * Reads a record to which later versions have added components.
   *
   * @param first number of components that the record has in each version
   * @param body reads these in order, then each added component for which {@link
   *     Components#consumeIfPresent} returns true
   */
  public <T> T extensibleRecord(int first, BiFunction<PackedReader, Components, T> body) {
    int present = read(unpacker::unpackArrayHeader);
    if (present < first) {
      throw malformed(present + " components instead of " + first, null);
    }
    Components components = new Components(present - first);
    T value = body.apply(this, components);
    skip(components.left);
    return value;
  }

  /** Reads a record of a sealed family; the body receives its tag. */
  public <T> T tagged(TaggedBody<T> body) {
    int present = read(unpacker::unpackArrayHeader) - 1;
    if (present < 0) {
      throw malformed("record without a tag", null);
    }
    Components components = new Components(present);
    T value = body.read((int) number(), components);
    skip(components.left);
    return value;
  }

  /**
   * Function that reads one record of a sealed family.
   *
   * @param <T> the family
   */
  public interface TaggedBody<T> {

    /**
     * Reads the components of a record.
     *
     * @param tag identifies the record type
     * @param components counts the components; the body consumes each that it reads
     */
    T read(int tag, Components components);
  }

  /** Counter of the components of a record that are still to be read. */
  public static final class Components {
    private int left;

    private Components(int left) {
      this.left = left;
    }

    /**
     * Consumes one component if any is left.
     *
     * @return whether there was one, which the caller must read next
     */
    public boolean consumeIfPresent() {
      boolean available = left > 0;
      left -= available ? 1 : 0;
      return available;
    }

    /**
     * Consumes components, which the caller must read next.
     *
     * @throws CodecException if fewer are left
     */
    public void consume(int count) {
      left -= count;
      if (left < 0) {
        throw malformed(-left + " components are missing", null);
      }
    }
  }

  private void skip(int values) {
    read(
        () -> {
          unpacker.skipValue(values);
          return values;
        });
  }

  /** Reads a string. */
  public String text() {
    return read(unpacker::unpackString);
  }

  /** Reads a string or null. */
  public @Nullable String optionalText() {
    return missing() ? null : text();
  }

  private boolean missing() {
    return read(unpacker::tryUnpackNil);
  }

  /** Reads an integer of 64 bits. */
  public long number() {
    return read(unpacker::unpackLong);
  }

  /** Reads an integer of 32 bits. */
  public int smallNumber() {
    return read(unpacker::unpackInt);
  }

  /** Reads an integer of 32 bits or null. */
  public @Nullable Integer optionalNumber() {
    return missing() ? null : Integer.valueOf(smallNumber());
  }

  /** Reads a floating-point number of 64 bits. */
  public double real() {
    return read(unpacker::unpackDouble);
  }

  /** Reads a boolean. */
  public boolean flag() {
    return read(unpacker::unpackBoolean);
  }

  /** Reads a byte array. */
  public byte[] bytes() {
    return read(
        () -> {
          int length = unpacker.unpackBinaryHeader();
          // Without this check, a corrupt length would exhaust the heap before the read fails.
          if (length > size) {
            throw new IOException(length + " bytes exceed the size of the input");
          }
          return unpacker.readPayload(length);
        });
  }

  /** Reads an instant, which is written as nanoseconds since 1970. */
  public Instant instant() {
    long nanos = number();
    return Instant.ofEpochSecond(
        Math.floorDiv(nanos, NANOS_PER_SECOND), Math.floorMod(nanos, NANOS_PER_SECOND));
  }

  /** Reads a list: the number of elements, then each element. */
  public <T> List<T> list(Function<PackedReader, T> each) {
    int count = read(unpacker::unpackArrayHeader);
    List<T> values = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      values.add(each.apply(this));
    }
    return values;
  }

  /** Reads a value or null. */
  public <T> @Nullable T optional(Function<PackedReader, T> one) {
    return missing() ? null : one.apply(this);
  }

  void expectEnd() {
    if (read(unpacker::hasNext)) {
      throw malformed("trailing bytes after the value", null);
    }
  }
}
