package org.skylarkfork.runtime.transport;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * A frame: four bytes of length, one byte of kind, then the payload in MessagePack.
 *
 * @param kind kind of the payload
 * @param payload MessagePack bytes, or an empty array
 */
record Frame(Kind kind, byte[] payload) {

  /** Size in bytes of the length field; its value counts the kind and the payload. */
  static final int LENGTH_BYTES = Integer.BYTES;

  /** Kind of a payload; the ordinal is the byte on the wire. */
  enum Kind {
    /** A {@link Handshake}. */
    HANDSHAKE,
    /** A {@code PeerMessage}. */
    MESSAGE,
    /** No payload; requests a keep-alive frame from the acceptor, or responds to one. */
    KEEP_ALIVE,
    /** No payload; the sender closes normally and the connection isn't reported as lost. */
    GOODBYE,
    /**
     * As the first frame, the address to which the acceptor is to open a connection; as the
     * response, a byte with the {@link ForwardResult}. What the target sends then follows as it is,
     * so that the end of the connection doesn't tell whose end it is.
     */
    FORWARD,
    /**
     * As {@link #FORWARD}, but what the target sends follows in blocks, each after its length in
     * four bytes; an empty block says that the target has closed its connection in order.
     */
    FORWARD_IN_BLOCKS
  }

  /** Returns whether the frame asks the acceptor to open a connection. */
  boolean requestsForwarding() {
    return kind == Kind.FORWARD || kind == Kind.FORWARD_IN_BLOCKS;
  }

  /** Returns the frame as encoded on the wire. */
  byte[] toBytes() {
    byte[] bytes = new byte[LENGTH_BYTES + 1 + payload.length];
    ByteBuf buffer = Unpooled.wrappedBuffer(bytes).clear();
    buffer.writeInt(1 + payload.length);
    buffer.writeByte(kind.ordinal());
    buffer.writeBytes(payload);
    return bytes;
  }

  /**
   * Decodes a frame without its length field.
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
