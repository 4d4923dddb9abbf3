package org.skylarkfork.runtime.transport;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import java.nio.charset.StandardCharsets;
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
   * @param request names the target
   */
  void open(PeerContext context, Channel peer, Frame request) {
    if (links.size() >= MAX_CONNECTIONS) {
      refuse(peer, request.kind(), ForwardResult.UNUSABLE);
      return;
    }
    targets.open(
        new String(request.payload(), StandardCharsets.UTF_8),
        opened -> {
          Channel channel = opened.channel();
          if (channel == null) {
            refuse(peer, request.kind(), opened.result());
          } else if (peer.isActive()) {
            connect(context, peer, request.kind(), channel);
          } else {
            channel.close();
          }
        });
  }

  private static void refuse(Channel peer, Frame.Kind kind, ForwardResult result) {
    peer.writeAndFlush(Unpooled.wrappedBuffer(reply(kind, result)))
        .addListener(ChannelFutureListener.CLOSE);
  }

  private static byte[] reply(Frame.Kind kind, ForwardResult result) {
    return new Frame(kind, new byte[] {(byte) result.ordinal()}).toBytes();
  }

  private void connect(PeerContext context, Channel peer, Frame.Kind kind, Channel target) {
    Link link = new Link(peer, target);
    links.add(link);
    peer.writeAndFlush(Unpooled.wrappedBuffer(reply(kind, ForwardResult.OPENED)));
    if (kind == Frame.Kind.FORWARD_IN_BLOCKS) {
      peer.pipeline().addLast(ForwardedInput.blockEncoder());
    }
    target.config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true);
    peer.pipeline().addLast(new PeerReader(link));
    target.pipeline().addLast(new TargetReader(link));
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

  private static void reset(Channel channel) {
    if (channel.isActive()) {
      channel.config().setOption(ChannelOption.SO_LINGER, 0);
      channel.close();
    }
  }

  /**
   * Copies what one side sends to the other side, and reads no further while the other side doesn't
   * take it.
   */
  private abstract class Copier extends ChannelInboundHandlerAdapter {
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
      endOther(other);
    }

    /** Ends the other side after this one has ended. */
    abstract void endOther(Channel channel);

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable error) {
      reset(other);
      context.close();
    }
  }

  /** Copies the peer's bytes to the target. */
  private final class PeerReader extends Copier {

    private PeerReader(Link link) {
      super(link, link.target);
    }

    @Override
    void endOther(Channel target) {
      target.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
    }
  }

  /**
   * Copies the target's bytes to the peer, then its orderly close. After any other end the peer's
   * channel is reset, since an answer that ends with its connection would look whole otherwise.
   */
  private final class TargetReader extends Copier {

    private boolean closedInOrder;

    private TargetReader(Link link) {
      super(link, link.peer);
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
      if (event instanceof ChannelInputShutdownEvent) {
        closedInOrder = true;
        context.close();
      } else {
        context.fireUserEventTriggered(event);
      }
    }

    /** An empty buffer becomes the block that tells the close, or nothing without blocks. */
    @Override
    void endOther(Channel peer) {
      if (closedInOrder) {
        peer.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
      } else {
        reset(peer);
      }
    }
  }
}
