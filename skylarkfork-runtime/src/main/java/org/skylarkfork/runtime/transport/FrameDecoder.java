package org.skylarkfork.runtime.transport;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.util.List;

/**
 * Cuts the stream into frames and refuses a length beyond the limit before it is buffered.
 *
 * <p>Until the first frame is taken the limit is small, so that strangers cost little memory.
 */
final class FrameDecoder extends ByteToMessageDecoder {

  /** Longest first frame in bytes. */
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
          "a frame claims " + Integer.toUnsignedString(length) + " bytes, limit " + limit,
          null);
    }
    if (in.readableBytes() >= Frame.LENGTH_BYTES + length) {
      in.skipBytes(Frame.LENGTH_BYTES);
      out.add(in.readRetainedSlice(length));
      limit = frameBytes;
    }
  }
}
