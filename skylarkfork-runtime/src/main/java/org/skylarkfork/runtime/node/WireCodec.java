package org.skylarkfork.runtime.node;

import org.skylarkfork.core.command.Command;
import org.skylarkfork.core.command.Snapshot;
import org.skylarkfork.core.consensus.GroupCodec;
import org.skylarkfork.runtime.codec.BinaryCodec;
import org.skylarkfork.runtime.codec.CodecException;

/**
 * Gives consensus the wire's codec.
 *
 * @param codec the codec
 */
public record WireCodec(BinaryCodec codec) implements GroupCodec {

  @Override
  public byte[] encode(Snapshot snapshot) {
    return codec.toBytes(snapshot);
  }

  @Override
  public Snapshot decode(byte[] bytes) {
    try {
      return codec.fromBytes(bytes, Snapshot.class);
    } catch (CodecException damaged) {
      throw new IllegalArgumentException("the bytes are not a snapshot", damaged);
    }
  }

  @Override
  public int sizeOf(Command command) {
    return codec.toBytes(command).length;
  }
}
