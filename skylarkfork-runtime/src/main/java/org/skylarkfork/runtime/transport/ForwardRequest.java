package org.skylarkfork.runtime.transport;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.util.concurrent.Promise;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/**
 * Asks a peer for a connection to a target. Once it is open, this handler and those of the frames
 * are replaced by those of the blocks, and the channel carries the bytes of that connection.
 *
 * <p>Until then no event reaches the handlers that use the connection, which is not open for them.
 */
final class ForwardRequest extends SimpleChannelInboundHandler<ByteBuf> {

  private static final long TIMEOUT_MILLIS = 700;

  private final PeerContext context;
  private final String target;
  private final Promise<Void> opened;

  ForwardRequest(PeerContext context, String target, Promise<Void> opened) {
    this.context = context;
    this.target = target;
    this.opened = opened;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext handlerContext) {
    byte[] payload = target.getBytes(StandardCharsets.UTF_8);
    byte[] frame = new Frame(Frame.Kind.FORWARD_IN_BLOCKS, payload).toBytes();
    handlerContext.writeAndFlush(Unpooled.wrappedBuffer(frame));
    handlerContext
        .executor()
        .schedule(
            () -> fail(handlerContext, ForwardResult.UNUSABLE),
            TIMEOUT_MILLIS,
            TimeUnit.MILLISECONDS);
  }

  @Override
  protected void channelRead0(ChannelHandlerContext handlerContext, ByteBuf buffer) {
    Frame frame = Frame.read(buffer);
    ForwardResult result = resultOf(frame);
    if (result != ForwardResult.OPENED) {
      fail(handlerContext, result);
      return;
    }
    handlerContext.pipeline().addAfter(handlerContext.name(), null, new ForwardedInput());
    handlerContext.pipeline().replace(this, null, ForwardedInput.blockDecoder());
    context.removeFrameHandlers(handlerContext.channel());
    opened.trySuccess(null);
  }

  private static ForwardResult resultOf(Frame frame) {
    boolean valid =
        frame.kind() == Frame.Kind.FORWARD_IN_BLOCKS
            && frame.payload().length == 1
            && frame.payload()[0] >= 0
            && frame.payload()[0] < ForwardResult.values().length;
    return valid ? ForwardResult.values()[frame.payload()[0]] : ForwardResult.UNUSABLE;
  }

  private void fail(ChannelHandlerContext handlerContext, ForwardResult result) {
    if (opened.tryFailure(new ForwardException(result))) {
      handlerContext.close();
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext handlerContext) {
    fail(handlerContext, ForwardResult.UNUSABLE);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext handlerContext, Throwable error) {
    fail(handlerContext, ForwardResult.UNUSABLE);
  }
}
