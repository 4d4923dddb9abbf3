package org.skylarkfork.runtime.relay;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A VM's links to upstreams, which a test can cut and restore. */
final class CuttableNetwork implements UpstreamConnector, AutoCloseable {

  /** How the links fail. */
  enum Cut {
    /** The links work. */
    NONE,
    /** New connections are refused; open ones are kept. */
    REFUSES_NEW,
    /** New connections are refused and open ones are reset. */
    RESETS,
    /** New connections aren't answered, and open ones transmit nothing. */
    SILENT
  }

  private final ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
  private final List<Socket> fillers = new ArrayList<>();
  private final InetSocketAddress closed;
  private final Set<Channel> open = ConcurrentHashMap.newKeySet();
  private volatile Cut cut = Cut.NONE;

  /** Creates working links. */
  CuttableNetwork() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      closed = new InetSocketAddress(socket.getInetAddress(), socket.getLocalPort());
    }
    fillBacklog();
  }

  /** Fills the queue of a listener that never accepts, so that further connections hang. */
  private void fillBacklog() throws IOException {
    for (int queued = 0; queued < 2; queued++) {
      fillers.add(new Socket(full.getInetAddress(), full.getLocalPort()));
    }
  }

  /** Changes how the links fail. */
  void cut(Cut kind) {
    cut = kind;
    if (kind == Cut.RESETS) {
      for (Channel channel : open) {
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
        channel.close();
      }
    }
  }

  @Override
  public ChannelFuture connect(Bootstrap bootstrap, InetSocketAddress address) {
    return switch (cut) {
      case NONE -> track(bootstrap.connect(address));
      case REFUSES_NEW, RESETS -> bootstrap.connect(closed);
      case SILENT ->
          bootstrap.connect(new InetSocketAddress(full.getInetAddress(), full.getLocalPort()));
    };
  }

  private ChannelFuture track(ChannelFuture connecting) {
    Channel channel = connecting.channel();
    connecting.addListener(
        done -> {
          if (done.isSuccess()) {
            open.add(channel);
            channel.pipeline().addFirst(new Silencer());
          }
        });
    channel.closeFuture().addListener(ended -> open.remove(channel));
    return connecting;
  }

  /** Drops what arrives while the links are silent. */
  private final class Silencer extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      if (cut == Cut.SILENT) {
        ReferenceCountUtil.release(message);
      } else {
        context.fireChannelRead(message);
      }
    }
  }

  @Override
  public void close() throws IOException {
    for (Socket filler : fillers) {
      filler.close();
    }
    full.close();
  }
}
