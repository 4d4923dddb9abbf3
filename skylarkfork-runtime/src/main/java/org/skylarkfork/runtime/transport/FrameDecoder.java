package org.skylarkfork.runtime.transport;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.util.List;

/**
 * Splits the stream into frames and rejects a length above the limit before buffering the frame.
 *
 * <p>The limit is small until the first frame is decoded, so that a connection without a handshake
 * uses little memory.
 */
final class FrameDecoder extends ByteToMessageDecoder {

  /** Maximum size in bytes of the first frame. */
  static final int FIRST_FRAME_BYTES = 4096;

  private final int frameBytes;
  private int limit = FIRST_FRAME_BYTES;

  FrameDecoder(int frameBytes) {
    this.frameBytes = frameBytes;
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) {
    if (in.readableBytes() < Frame.LENGTH_BYTES) {
      return;
    }
    int length = in.getInt(in.readerIndex());
    if (length < 1 || length > limit) {
      in.skipBytes(in.readableBytes());
      throw new TransportException(
          TransportException.Kind.BAD_FRAME,
          "a frame has a length of " + Integer.toUnsignedString(length) + " bytes, limit " + limit,
          null);
    }
    if (in.readableBytes() >= Frame.LENGTH_BYTES + length) {
      in.skipBytes(Frame.LENGTH_BYTES);
      out.add(in.readRetainedSlice(length));
      limit = frameBytes;
    }
  }
}
