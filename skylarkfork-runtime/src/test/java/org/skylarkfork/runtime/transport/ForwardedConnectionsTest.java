package org.skylarkfork.runtime.transport;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.Future;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.runtime.codec.Codec;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of connections that a peer opens for another daemon. */
public final class ForwardedConnectionsTest {

  private static final int LARGE_BYTES = 8 << 20;

  private final InetAddress loopback = InetAddress.getLoopbackAddress();
  private @Nullable EventLoopGroup loop;
  private @Nullable PeerTransport peer;
  private @Nullable PeerTransport client;
  private @Nullable ServerSocket target;

  /** Opens a target, and two transports of which one forwards to it. */
  @BeforeMethod
  public void start() throws IOException {
    EventLoopGroup started = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    loop = started;
    target = new ServerSocket(0, 5, loopback);
    peer = transport("peer", started);
    peer.forwardTo(this::connect);
    peer.start();
    client = transport("client", started);
  }

  private static PeerTransport transport(String name, EventLoopGroup loop) {
    TransportSettings settings =
        new TransportSettings(name, "test", 1, "127.0.0.1", 0, TestNode.LIMITS, null);
    return new PeerTransport(settings, new Codec(), event -> {}, loop);
  }

  private void connect(String address, Consumer<ForwardTargets.Opened> receiver) {
    if (address.equals("unknown")) {
      receiver.accept(ForwardTargets.Opened.failed(ForwardResult.REJECTED));
      return;
    }
    new Bootstrap()
        .group(loop)
        .channel(NioSocketChannel.class)
        .handler(new ChannelInboundHandlerAdapter())
        .option(ChannelOption.AUTO_READ, false)
        .connect(new InetSocketAddress(loopback, Integer.parseInt(address)))
        .addListener(
            (ChannelFutureListener)
                done ->
                    receiver.accept(
                        done.isSuccess()
                            ? new ForwardTargets.Opened(ForwardResult.OPENED, done.channel())
                            : ForwardTargets.Opened.failed(ForwardResult.UNREACHABLE)));
  }

  private Bootstrap bootstrap(Received received) {
    return new Bootstrap()
        .group(loop)
        .channel(NioSocketChannel.class)
        .handler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                received.channel = channel;
                channel.pipeline().addLast(received);
              }
            });
  }

  /** Closes everything. */
  @AfterMethod
  public void close() throws IOException {
    if (client != null && peer != null && loop != null && target != null) {
      client.close();
      peer.close();
      loop.shutdownGracefully().syncUninterruptibly();
      target.close();
    }
  }

  /** What the client's side of a connection has received. */
  private static final class Received extends ChannelInboundHandlerAdapter {
    private final StringBuffer text = new StringBuffer();
    private final CompletableFuture<Boolean> ended = new CompletableFuture<>();
    private volatile boolean targetClosed;
    private volatile @Nullable Channel channel;

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      ByteBuf bytes = (ByteBuf) message;
      text.append(bytes.toString(StandardCharsets.UTF_8));
      bytes.release();
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
      targetClosed = event instanceof ChannelInputShutdownEvent;
    }

    /** Ends with true only if the target was told to have closed its connection. */
    @Override
    public void channelInactive(ChannelHandlerContext context) {
      ended.complete(targetClosed);
    }

    /** Ends with false: the connection was reset, or lost without the end of the target's. */
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable error) {
      ended.complete(false);
      context.close();
    }

    Channel open() {
      Channel known = channel;
      if (known == null) {
        throw new IllegalStateException("the connection isn't open");
      }
      return known;
    }
  }

  private Future<Void> openFrom(Received received, String address) {
    if (client == null || peer == null) {
      throw new IllegalStateException("not started");
    }
    InetSocketAddress peerAddress = new InetSocketAddress(loopback, peer.port());
    return client.openForwarded(bootstrap(received), peerAddress, address).awaitUninterruptibly();
  }

  private Socket accept(Received received) throws IOException {
    if (target == null) {
      throw new IllegalStateException("not started");
    }
    Future<Void> opened = openFrom(received, Integer.toString(target.getLocalPort()));
    assertTrue(opened.isSuccess(), String.valueOf(opened.cause()));
    return target.accept();
  }

  @Test
  public void bytesAreCopiedBothWays() throws Exception {
    Received received = new Received();
    try (Socket accepted = accept(received)) {
      received.open().writeAndFlush(Unpooled.copiedBuffer("request", StandardCharsets.UTF_8));
      byte[] request = accepted.getInputStream().readNBytes("request".length());
      assertEquals(new String(request, StandardCharsets.UTF_8), "request");
      accepted.getOutputStream().write("answer".getBytes(StandardCharsets.UTF_8));
    }
    assertTrue(received.ended.join());
    assertEquals(received.text.toString(), "answer");
  }

  /** Guards against upstreams that go on working for a caller who has left. */
  @Test
  public void closeOfTheClientClosesTheTarget() throws Exception {
    Received received = new Received();
    try (Socket accepted = accept(received)) {
      received.open().close();
      assertEquals(accepted.getInputStream().read(), -1);
    }
  }

  /** Guards against a cut answer that looks complete because its connection seems to have ended. */
  @Test
  public void resetOfTheTargetResetsTheClient() throws Exception {
    Received received = new Received();
    try (Socket accepted = accept(received)) {
      accepted.getOutputStream().write("partial".getBytes(StandardCharsets.UTF_8));
      accepted.setSoLinger(true, 0);
    }
    assertFalse(received.ended.join());
  }

  /** Guards against an end of the forwarding daemon that counts as the end of its target. */
  @Test
  public void endOfTheForwarderIsNotThatOfTheTarget() throws Exception {
    Received received = new Received();
    try (ServerSocket forwarder = new ServerSocket(0, 1, loopback)) {
      Future<Void> opened = openAt(received, forwarder);
      try (Socket asking = forwarder.accept()) {
        readRequest(asking);
        asking.getOutputStream().write(reply(Frame.Kind.FORWARD_IN_BLOCKS));
        asking.getOutputStream().write(new byte[] {0, 0, 0, 4, 'p', 'a', 'r', 't'});
        opened.awaitUninterruptibly();
      }
    }
    assertFalse(received.ended.join());
    assertEquals(received.text.toString(), "part");
  }

  /** Guards against bytes of an older daemon, which doesn't tell the end of its target. */
  @Test
  public void daemonThatForwardsWithoutBlocksIsNotUsed() throws Exception {
    Received received = new Received();
    try (ServerSocket forwarder = new ServerSocket(0, 1, loopback)) {
      Future<Void> opened = openAt(received, forwarder);
      try (Socket asking = forwarder.accept()) {
        readRequest(asking);
        asking.getOutputStream().write(reply(Frame.Kind.FORWARD));
        opened.awaitUninterruptibly();
      }
      assertEquals(((ForwardException) opened.cause()).result(), ForwardResult.UNUSABLE);
    }
  }

  /** Guards against an older daemon that gets blocks where it expects the target's bytes. */
  @Test
  public void olderDaemonReceivesBytesWithoutBlocks() throws Exception {
    try (Socket asking = askWithoutBlocks();
        Socket accepted = target().accept()) {
      accepted.getOutputStream().write("answer".getBytes(StandardCharsets.UTF_8));
      accepted.close();
      byte[] received = asking.getInputStream().readAllBytes();
      byte[] opened = reply(Frame.Kind.FORWARD);
      assertEquals(Arrays.copyOf(received, opened.length), opened);
      assertEquals(
          new String(received, opened.length, received.length - opened.length, "UTF-8"), "answer");
    }
  }

  /** Guards against a cut answer that an older daemon takes for a whole one. */
  @Test(expectedExceptions = SocketException.class)
  public void resetOfTheTargetResetsAnOlderDaemon() throws Exception {
    try (Socket asking = askWithoutBlocks();
        Socket accepted = target().accept()) {
      byte[] opened = reply(Frame.Kind.FORWARD);
      assertEquals(asking.getInputStream().readNBytes(opened.length), opened);
      accepted.setSoLinger(true, 0);
      accepted.close();
      asking.getInputStream().readAllBytes();
    }
  }

  private Socket askWithoutBlocks() throws IOException {
    if (peer == null) {
      throw new IllegalStateException("not started");
    }
    Socket asking = new Socket(loopback, peer.port());
    byte[] address = Integer.toString(target().getLocalPort()).getBytes(StandardCharsets.UTF_8);
    asking.getOutputStream().write(new Frame(Frame.Kind.FORWARD, address).toBytes());
    return asking;
  }

  private ServerSocket target() {
    if (target == null) {
      throw new IllegalStateException("not started");
    }
    return target;
  }

  private Future<Void> openAt(Received received, ServerSocket forwarder) {
    if (client == null) {
      throw new IllegalStateException("not started");
    }
    InetSocketAddress address = new InetSocketAddress(loopback, forwarder.getLocalPort());
    return client.openForwarded(bootstrap(received), address, "any");
  }

  private static void readRequest(Socket asking) throws IOException {
    DataInputStream in = new DataInputStream(asking.getInputStream());
    in.readNBytes(in.readInt());
  }

  private static byte[] reply(Frame.Kind kind) {
    return new Frame(kind, new byte[] {(byte) ForwardResult.OPENED.ordinal()}).toBytes();
  }

  /** Guards against a forwarding daemon that buffers what its peer doesn't read. */
  @Test
  public void largeAnswersPassWhileTheClientPauses() throws Exception {
    Received received = new Received();
    try (Socket accepted = accept(received)) {
      received.open().config().setAutoRead(false);
      CompletableFuture<Void> written =
          CompletableFuture.runAsync(() -> write(accepted, LARGE_BYTES));
      received.open().config().setAutoRead(true);
      written.join();
    }
    assertTrue(received.ended.join());
    assertEquals(received.text.length(), LARGE_BYTES);
  }

  private static void write(Socket accepted, int bytes) {
    try {
      accepted.getOutputStream().write("x".repeat(bytes).getBytes(StandardCharsets.UTF_8));
      accepted.shutdownOutput();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  @Test
  public void refusalsAreTold() {
    Future<Void> rejected = openFrom(new Received(), "unknown");
    assertEquals(((ForwardException) rejected.cause()).result(), ForwardResult.REJECTED);
    Future<Void> unreachable = openFrom(new Received(), "1");
    assertEquals(((ForwardException) unreachable.cause()).result(), ForwardResult.UNREACHABLE);
  }
}
