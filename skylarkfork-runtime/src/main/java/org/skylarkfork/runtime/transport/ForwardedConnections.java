package org.skylarkfork.runtime.transport;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** Connections that this daemon has opened for peers, whose bytes it copies both ways. */
final class ForwardedConnections {

  /** Maximum number of connections, each of which uses two descriptors. */
  private static final int MAX_CONNECTIONS = 512;

  /**
   * Time without a byte after which a connection is closed, since its peer may be lost; longer than
   * any request waits.
   */
  private static final long MAX_IDLE_NANOS = TimeUnit.SECONDS.toNanos(60);

  private final ForwardTargets targets;
  private final Set<Link> links = ConcurrentHashMap.newKeySet();

  ForwardedConnections(ForwardTargets targets) {
    this.targets = targets;
  }

  /**
   * Opens a connection for a peer and replies with the result.
   *
   * @param context removes the handlers of frames from the peer's channel
   * @param peer the peer's channel, whose last handler is removed
   * @param target address that the peer named
   */
  void open(PeerContext context, Channel peer, String target) {
    if (links.size() >= MAX_CONNECTIONS) {
      refuse(peer, ForwardResult.UNUSABLE);
      return;
    }
    targets.open(
        target,
        opened -> {
          Channel channel = opened.channel();
          if (channel == null) {
            refuse(peer, opened.result());
          } else if (peer.isActive()) {
            connect(context, peer, channel);
          } else {
            channel.close();
          }
        });
  }

  private static void refuse(Channel peer, ForwardResult result) {
    peer.writeAndFlush(Unpooled.wrappedBuffer(reply(result)))
        .addListener(ChannelFutureListener.CLOSE);
  }

  private static byte[] reply(ForwardResult result) {
    return new Frame(Frame.Kind.FORWARD, new byte[] {(byte) result.ordinal()}).toBytes();
  }

  private void connect(PeerContext context, Channel peer, Channel target) {
    Link link = new Link(peer, target);
    links.add(link);
    peer.writeAndFlush(Unpooled.wrappedBuffer(reply(ForwardResult.OPENED)));
    peer.pipeline().addLast(new Copier(link, target));
    target.pipeline().addLast(new Copier(link, peer));
    context.removeFrameHandlers(peer);
    peer.config().setAutoRead(true);
    target.config().setAutoRead(true);
  }

  /** Returns the number of open connections. */
  int count() {
    return links.size();
  }

  /** Closes the connections that have carried no byte for long. */
  void closeIdle(long now) {
    for (Link link : links) {
      if (now - link.lastBytesAt > MAX_IDLE_NANOS) {
        link.peer.close();
      }
    }
  }

  /** A peer's channel and the connection that was opened for it. */
  private static final class Link {
    private final Channel peer;
    private final Channel target;
    private volatile long lastBytesAt = System.nanoTime();

    private Link(Channel peer, Channel target) {
      this.peer = peer;
      this.target = target;
    }
  }

  /**
   * Copies what one side sends to the other side, and reads no further while the other side doesn't
   * take it.
   */
  private final class Copier extends ChannelInboundHandlerAdapter {
    private final Link link;
    private final Channel other;

    private Copier(Link link, Channel other) {
      this.link = link;
      this.other = other;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      link.lastBytesAt = System.nanoTime();
      other.writeAndFlush(message);
      if (!other.isWritable()) {
        context.channel().config().setAutoRead(false);
      }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
      other.config().setAutoRead(context.channel().isWritable());
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      links.remove(link);
      other.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
    }

    /**
     * Resets the other side if this one was reset: an answer that ends with its connection would
     * look complete otherwise.
     */
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable error) {
      if (other.isActive()) {
        other.config().setOption(ChannelOption.SO_LINGER, 0);
        other.close();
      }
      context.close();
    }
  }
}
