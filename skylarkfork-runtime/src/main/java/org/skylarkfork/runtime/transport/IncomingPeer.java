package org.skylarkfork.runtime.transport;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/** One accepted connection: takes the greeting, then messages. */
final class IncomingPeer extends SimpleChannelInboundHandler<ByteBuf> {

  private final PeerContext context;
  private final Channel channel;
  private final Consumer<IncomingPeer> onGreeted;
  private final Consumer<IncomingPeer> onEnded;
  private final long openedAt = System.nanoTime();
  private volatile long lastReadAt = openedAt;
  private volatile @Nullable String node;
  private volatile boolean closedNormally;
  private volatile String detail = "closed by the peer";

  IncomingPeer(
      PeerContext context,
      Channel channel,
      Consumer<IncomingPeer> onGreeted,
      Consumer<IncomingPeer> onEnded) {
    this.context = context;
    this.channel = channel;
    this.onGreeted = onGreeted;
    this.onEnded = onEnded;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext handlerContext, ByteBuf buffer) {
    receive(buffer);
  }

  @Override
  public void channelInactive(ChannelHandlerContext handlerContext) {
    onEnded.accept(this);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext handlerContext, Throwable error) {
    detail = String.valueOf(error.getMessage());
    context.recordFailure(String.valueOf(channel.remoteAddress()), error);
    channel.close();
  }

  /** Returns the name given in the greeting, or null before it. */
  @Nullable String node() {
    return node;
  }

  /** Ends the connection without reporting it as lost. */
  void closeNormally() {
    closedNormally = true;
    channel.close();
  }

  /** Ends a connection that was not greeted in time or has fallen silent. */
  void check(long now) {
    TransportSettings.Limits limits = context.settings.limits();
    if (node == null && now - openedAt > limits.silenceTimeout().toNanos()) {
      channel.close();
    } else if (now - lastReadAt > limits.silenceTimeout().toNanos()) {
      detail = "silent";
      channel.close();
    }
  }

  /** Reports the end of the connection. */
  void reportEnd() {
    String peer = node;
    if (peer != null && !closedNormally) {
      context.reportLost(peer, detail);
    }
  }

  private void receive(ByteBuf buffer) {
    Frame frame = Frame.read(buffer);
    String peer = node;
    if (peer == null) {
      acceptGreeting(context.readHandshake(frame));
      return;
    }
    if (!context.filter.receivesFrom(peer)) {
      return;
    }
    lastReadAt = System.nanoTime();
    switch (frame.kind()) {
      case MESSAGE -> context.deliver(peer, frame);
      case KEEP_ALIVE -> reply(peer, PeerContext.emptyFrame(Frame.Kind.KEEP_ALIVE));
      case GOODBYE -> closeNormally();
      default ->
          throw new TransportException(
              TransportException.Kind.BAD_FRAME, "a second greeting of " + peer, null);
    }
  }

  private void acceptGreeting(Handshake handshake) {
    if (!(handshake instanceof Handshake.Greeting greeting)) {
      throw new TransportException(
          TransportException.Kind.BAD_FRAME, "an answer instead of a greeting", null);
    }
    if (!context.filter.receivesFrom(greeting.node())) {
      return;
    }
    Handshake.Refusal refusal = checkGreeting(greeting);
    if (refusal != null) {
      refuse(refusal);
      return;
    }
    node = greeting.node();
    lastReadAt = System.nanoTime();
    onGreeted.accept(this);
    TransportSettings own = context.settings;
    int version = Math.min(greeting.version(), Handshake.VERSION);
    reply(
        greeting.node(),
        context.handshake(new Handshake.Welcome(version, own.node(), own.incarnation())));
  }

  private Handshake.@Nullable Refusal checkGreeting(Handshake.Greeting greeting) {
    TransportSettings own = context.settings;
    if (greeting.version() < Handshake.OLDEST_VERSION
        || greeting.oldestVersion() > Handshake.VERSION) {
      return new Handshake.Refusal(
          Handshake.Reason.VERSION,
          "versions %d to %d offered, %d to %d understood"
              .formatted(
                  greeting.oldestVersion(),
                  greeting.version(),
                  Handshake.OLDEST_VERSION,
                  Handshake.VERSION));
    }
    if (!own.cluster().equals(greeting.cluster())) {
      return new Handshake.Refusal(
          Handshake.Reason.CLUSTER, greeting.cluster() + " instead of " + own.cluster());
    }
    if (greeting.node() == null || greeting.node().equals(own.node())) {
      return new Handshake.Refusal(
          Handshake.Reason.NAME, greeting.node() + " isn't another daemon's name");
    }
    if (!context.hasCertificateOf(channel, greeting.node())) {
      return new Handshake.Refusal(
          Handshake.Reason.CERTIFICATE, "no certificate of " + greeting.node());
    }
    return null;
  }

  private void refuse(Handshake.Refusal refusal) {
    context.recordFailure(
        String.valueOf(channel.remoteAddress()),
        new TransportException(
            TransportException.Kind.REFUSED, refusal.reason() + ": " + refusal.detail(), null));
    channel
        .writeAndFlush(Unpooled.wrappedBuffer(context.handshake(refusal)))
        .addListener(ChannelFutureListener.CLOSE);
  }

  private void reply(String peer, byte[] frame) {
    // Answers are small and come one for each frame taken; a peer that sends without reading them
    // would grow our memory, so a connection that takes no more bytes gets none.
    if (context.filter.sendsTo(peer) && channel.isWritable()) {
      channel.writeAndFlush(Unpooled.wrappedBuffer(frame));
    }
  }
}
