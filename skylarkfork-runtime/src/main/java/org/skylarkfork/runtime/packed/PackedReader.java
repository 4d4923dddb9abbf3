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
 * Reads what {@link PackedWriter} wrote.
 *
 * <p>A record may have more components than are asked for, as a newer version writes them; the rest
 * is skipped. All failures are {@link CodecException}s.
 */
public final class PackedReader {

  private static final long NANOS_A_SECOND = 1_000_000_000L;

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

  /** Returns the failure for a tag that no record of a family has. */
  public static CodecException unknown(String family, int tag) {
    return new CodecException(
        CodecException.Kind.UNKNOWN_TYPE, "no " + family + " has the tag " + tag, null);
  }

  /**
   * Reads a record.
   *
   * @param components components that the body reads
   * @param body reads them in order
   */
  public <T> T record(int components, Function<PackedReader, T> body) {
    int present = read(unpacker::unpackArrayHeader);
    if (present < components) {
      throw malformed(present + " components in place of " + components, null);
    }
    T value = body.apply(this);
    skip(present - components);
    return value;
  }

  /**
   * Reads a record that has got components over time.
   *
   * @param first components that each version of it has
   * @param body reads these in order, then what {@link Components#consumeIfPresent} says is there
   */
  public <T> T extensibleRecord(int first, BiFunction<PackedReader, Components, T> body) {
    int present = read(unpacker::unpackArrayHeader);
    if (present < first) {
      throw malformed(present + " components in place of " + first, null);
    }
    Components components = new Components(present - first);
    T value = body.apply(this, components);
    skip(components.left);
    return value;
  }

  /** Reads a record of a sealed family; the body gets its tag. */
  public <T> T tagged(TaggedBody<T> body) {
    int present = read(unpacker::unpackArrayHeader) - 1;
    if (present < 0) {
      throw malformed("a record without a tag", null);
    }
    Components components = new Components(present);
    T value = body.read((int) number(), components);
    skip(components.left);
    return value;
  }

  /**
   * Reads one record of a family.
   *
   * @param <T> the family
   */
  public interface TaggedBody<T> {

    /**
     * Reads the components of a record.
     *
     * @param tag which record it is
     * @param components to be told how many are read
     */
    T read(int tag, Components components);
  }

  /** How many components of a record are there still. */
  public static final class Components {
    private int left;

    private Components(int left) {
      this.left = left;
    }

    /** Returns whether one more component is there, which is to be read next then. */
    public boolean consumeIfPresent() {
      boolean there = left > 0;
      left -= there ? 1 : 0;
      return there;
    }

    /** Takes note that some components are read next. */
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

  /** Reads a text. */
  public String text() {
    return read(unpacker::unpackString);
  }

  /** Reads a text that may be missing. */
  public @Nullable String optionalText() {
    return missing() ? null : text();
  }

  private boolean missing() {
    return read(unpacker::tryUnpackNil);
  }

  /** Reads a whole number. */
  public long number() {
    return read(unpacker::unpackLong);
  }

  /** Reads a whole number of 32 bits. */
  public int smallNumber() {
    return read(unpacker::unpackInt);
  }

  /** Reads a number that may be missing. */
  public @Nullable Integer optionalNumber() {
    return missing() ? null : Integer.valueOf(smallNumber());
  }

  /** Reads a number with a fraction. */
  public double real() {
    return read(unpacker::unpackDouble);
  }

  /** Reads a truth value. */
  public boolean flag() {
    return read(unpacker::unpackBoolean);
  }

  /** Reads bytes. */
  public byte[] bytes() {
    return read(
        () -> {
          int length = unpacker.unpackBinaryHeader();
          // Believed, a wrong length would take the memory before the end of the input shows.
          if (length > size) {
            throw new IOException(length + " bytes are more than there are");
          }
          return unpacker.readPayload(length);
        });
  }

  /** Reads a moment. */
  public Instant instant() {
    long nanos = number();
    return Instant.ofEpochSecond(
        Math.floorDiv(nanos, NANOS_A_SECOND), Math.floorMod(nanos, NANOS_A_SECOND));
  }

  /** Reads values with their count before them. */
  public <T> List<T> list(Function<PackedReader, T> each) {
    int count = read(unpacker::unpackArrayHeader);
    List<T> values = new ArrayList<>();
    for (int place = 0; place < count; place++) {
      values.add(each.apply(this));
    }
    return values;
  }

  /** Reads a value that may be missing. */
  public <T> @Nullable T optional(Function<PackedReader, T> one) {
    return missing() ? null : one.apply(this);
  }

  void expectEnd() {
    if (read(unpacker::hasNext)) {
      throw malformed("bytes after the value", null);
    }
  }
}
