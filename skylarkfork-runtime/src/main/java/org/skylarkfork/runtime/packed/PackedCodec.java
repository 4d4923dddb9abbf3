package org.skylarkfork.runtime.packed;

import java.util.List;
import org.skylarkfork.runtime.codec.BinaryCodec;
import org.skylarkfork.runtime.codec.CodecException;

/**
 * A codec with hand-written serialization code for each record.
 *
 * <p>The general {@code Codec} inspects a record's components by reflection at its first use. A
 * control VM with less than half a core spent over a second on that after each start, a delay for
 * the callers of all entries after a full outage. Records are written without the names of their
 * components, which also makes the messages between daemons two thirds smaller.
 */
public final class PackedCodec implements BinaryCodec {

  private final List<Packing<?>> packings;

  /**
   * Creates a codec.
   *
   * @param packings one for each type that is serialized as a top-level value
   */
  public PackedCodec(List<Packing<?>> packings) {
    this.packings = List.copyOf(packings);
  }

  @Override
  public byte[] toBytes(Object value) {
    for (Packing<?> packing : packings) {
      if (packing.type().isInstance(value)) {
        return pack(packing, value);
      }
    }
    throw unsupported(value.getClass());
  }

  private static <T> byte[] pack(Packing<T> packing, Object value) {
    PackedWriter out = new PackedWriter();
    packing.write(packing.type().cast(value), out);
    return out.toBytes();
  }

  @Override
  public <T> T fromBytes(byte[] bytes, Class<T> type) {
    for (Packing<?> packing : packings) {
      if (packing.type().equals(type)) {
        PackedReader in = new PackedReader(bytes);
        T value = type.cast(packing.read(in));
        in.expectEnd();
        return value;
      }
    }
    throw unsupported(type);
  }

  private static CodecException unsupported(Class<?> type) {
    return new CodecException(
        CodecException.Kind.UNSUPPORTED, "no packing is registered for " + type.getName(), null);
  }
}
