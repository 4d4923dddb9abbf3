package org.skylarkfork.runtime.packed;

import java.util.List;
import org.skylarkfork.runtime.codec.BinaryCodec;
import org.skylarkfork.runtime.codec.CodecException;

/**
 * A codec whose code is written out for each record.
 *
 * <p>The general one finds a record's components when it first meets it. A control VM with less
 * than half a core spent over a second on that after each start, and callers of all entries wait
 * for it after a crash of everything. Records carry no names of their components, which also takes
 * two thirds off the messages between daemons.
 */
public final class PackedCodec implements BinaryCodec {

  private final List<Packing<?>> packings;

  /**
   * Makes a codec.
   *
   * @param packings one for each type that is written or read as a whole
   */
  public PackedCodec(List<Packing<?>> packings) {
    this.packings = List.copyOf(packings);
  }

  @Override
  public byte[] toBytes(Object value) {
    for (Packing<?> packing : packings) {
      if (packing.type().isInstance(value)) {
        return bytes(packing, value);
      }
    }
    throw unsupported(value.getClass());
  }

  private static <T> byte[] bytes(Packing<T> packing, Object value) {
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
        CodecException.Kind.UNSUPPORTED, "no packing is known for " + type.getName(), null);
  }
}
