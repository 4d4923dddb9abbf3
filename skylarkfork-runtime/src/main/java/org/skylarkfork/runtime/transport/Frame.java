package org.skylarkfork.runtime.transport;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * The layout of frames: four bytes of length, one byte of kind, then the payload in MessagePack.
 *
 * @param kind what the payload is
 * @param payload MessagePack, or nothing
 */
record Frame(Kind kind, byte[] payload) {

  /** Size in bytes of the field that gives the length of kind and payload. */
  static final int LENGTH_BYTES = Integer.BYTES;

  /** What a payload is; the position is the byte on the wire. */
  enum Kind {
    /** A {@link Handshake}. */
    HANDSHAKE,
    /** A message of the core. */
    MESSAGE,
    /** Nothing; asks the acceptor for one back, or answers. */
    KEEP_ALIVE,
    /** Nothing; the sender closes in order and no connection is lost. */
    GOODBYE
  }

  /** Returns the frame as it goes on the wire. */
  byte[] toBytes() {
    byte[] bytes = new byte[LENGTH_BYTES + 1 + payload.length];
    ByteBuf buffer = Unpooled.wrappedBuffer(bytes).clear();
    buffer.writeInt(1 + payload.length);
    buffer.writeByte(kind.ordinal());
    buffer.writeBytes(payload);
    return bytes;
  }

  /**
   * Reads a frame without its length field.
   *
   * @throws TransportException if the kind is unknown
   */
  static Frame read(ByteBuf buffer) {
    int kind = buffer.readUnsignedByte();
    if (kind >= Kind.values().length) {
      throw new TransportException(
          TransportException.Kind.BAD_FRAME, "a frame of unknown kind " + kind, null);
    }
    byte[] payload = new byte[buffer.readableBytes()];
    buffer.readBytes(payload);
    return new Frame(Kind.values()[kind], payload);
  }
}
