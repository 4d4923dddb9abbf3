package org.skylarkfork.runtime.transport;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * An accepted connection: receives the greeting, then messages. Messages to the peer use it as well
 * if the peer supports that.
 */
final class IncomingPeer extends SimpleChannelInboundHandler<ByteBuf> {

  private final PeerContext context;
  private final Channel channel;
  private final Consumer<IncomingPeer> onGreeted;
  private final Consumer<IncomingPeer> onEnded;
  private final BiConsumer<IncomingPeer, Frame> onForward;
  private final long openedAt = System.nanoTime();
  private volatile long lastReadAt = openedAt;
  private volatile @Nullable String node;
  private volatile boolean duplex;
  private volatile boolean closedNormally;
  private volatile String detail = "closed by the peer";

  IncomingPeer(
      PeerContext context,
      Channel channel,
      Consumer<IncomingPeer> onGreeted,
      Consumer<IncomingPeer> onEnded,
      BiConsumer<IncomingPeer, Frame> onForward) {
    this.context = context;
    this.channel = channel;
    this.onGreeted = onGreeted;
    this.onEnded = onEnded;
    this.onForward = onForward;
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

  /** Returns the peer's name from its greeting, or null before the greeting. */
  @Nullable String node() {
    return node;
  }

  /**
   * Sends a message frame to the peer; returns false if the connection doesn't accept it now, and
   * the frame is to be sent otherwise.
   */
  boolean send(byte[] frame) {
    String peer = node;
    if (peer == null || !duplex || !channel.isActive() || !channel.isWritable()) {
      return false;
    }
    if (context.filter.sendsTo(peer)) {
      channel.writeAndFlush(Unpooled.wrappedBuffer(frame));
      context.counters.sent.increment();
    }
    return true;
  }

  /**
   * Closes the connection once the messages that wait on it are written, without reporting it as
   * lost.
   */
  CompletableFuture<Void> closeAfterWrites() {
    closedNormally = true;
    CompletableFuture<Void> closed = new CompletableFuture<>();
    channel
        .writeAndFlush(Unpooled.EMPTY_BUFFER)
        .addListener(done -> channel.close().addListener(end -> closed.complete(null)));
    return closed;
  }

  /** Returns when the connection was accepted, as the process's monotonic clock, in nanoseconds. */
  long openedAt() {
    return openedAt;
  }

  /** Returns the connection. */
  Channel channel() {
    return channel;
  }

  /** Closes the connection without reporting it as lost. */
  void closeNormally() {
    closedNormally = true;
    channel.close();
  }

  /** Closes the connection if no greeting or no frame arrived within the silence timeout. */
  void check(long now) {
    TransportSettings.Limits limits = context.settings.limits();
    if (node == null && now - openedAt > limits.silenceTimeout().toNanos()) {
      channel.close();
    } else if (now - lastReadAt > limits.silenceTimeout().toNanos()) {
      detail = "silent";
      channel.close();
    }
  }

  /** Reports the connection as lost unless it was closed normally or never greeted. */
  void reportEnd() {
    String peer = node;
    if (peer != null && !closedNormally) {
      context.reportLost(peer, detail);
    }
  }

  private void receive(ByteBuf buffer) {
    Frame frame = Frame.read(buffer);
    String peer = node;
    if (peer == null && frame.requestsForwarding()) {
      onForward.accept(this, frame);
      return;
    }
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
              TransportException.Kind.BAD_FRAME, "a second greeting from " + peer, null);
    }
  }

  private void acceptGreeting(Handshake handshake) {
    if (!(handshake instanceof Handshake.Greeting greeting)) {
      throw new TransportException(
          TransportException.Kind.BAD_FRAME, "another handshake instead of a greeting", null);
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
    TransportSettings settings = context.settings;
    int version = Math.min(greeting.version(), Handshake.VERSION);
    reply(
        greeting.node(),
        context.handshake(new Handshake.Welcome(version, settings.node(), settings.incarnation())));
    // Set after the welcome is written, which must be the first frame of the connection.
    duplex = version >= Handshake.DUPLEX_VERSION;
    onGreeted.accept(this);
  }

  private Handshake.@Nullable Refusal checkGreeting(Handshake.Greeting greeting) {
    TransportSettings settings = context.settings;
    if (greeting.version() < Handshake.OLDEST_VERSION
        || greeting.oldestVersion() > Handshake.VERSION) {
      return new Handshake.Refusal(
          Handshake.Reason.VERSION,
          "versions %d to %d offered, %d to %d supported"
              .formatted(
                  greeting.oldestVersion(),
                  greeting.version(),
                  Handshake.OLDEST_VERSION,
                  Handshake.VERSION));
    }
    if (!settings.cluster().equals(greeting.cluster())) {
      return new Handshake.Refusal(
          Handshake.Reason.CLUSTER, greeting.cluster() + " instead of " + settings.cluster());
    }
    if (greeting.node() == null || greeting.node().equals(settings.node())) {
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
    // Each received frame can cause one small reply. A peer that sends without reading would make
    // the replies accumulate in memory, so none is written to a connection that isn't writable.
    if (context.filter.sendsTo(peer) && channel.isWritable()) {
      channel.writeAndFlush(Unpooled.wrappedBuffer(frame));
    }
  }
}
