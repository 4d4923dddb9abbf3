package org.skylarkfork.standin.measure;

import org.skylarkfork.core.command.Command;
import org.skylarkfork.core.command.Snapshot;
import org.skylarkfork.core.consensus.GroupCodec;
import org.skylarkfork.runtime.codec.Codec;

/** Gives consensus the wire's codec, as a daemon does. */
record MeasureCodec(Codec codec) implements GroupCodec {

  @Override
  public byte[] encode(Snapshot snapshot) {
    return codec.toBytes(snapshot);
  }

  @Override
  public Snapshot decode(byte[] bytes) {
    return codec.fromBytes(bytes, Snapshot.class);
  }

  @Override
  public int sizeOf(Command command) {
    return codec.toBytes(command).length;
  }
}
