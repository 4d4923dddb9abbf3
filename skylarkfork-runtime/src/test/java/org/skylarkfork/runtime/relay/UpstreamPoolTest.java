package org.skylarkfork.runtime.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotSame;
import static org.testng.Assert.assertTrue;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.jspecify.annotations.Nullable;
import org.testng.annotations.Test;

/** Tests of {@link UpstreamPool}. */
public final class UpstreamPoolTest {

  /**
   * Guards against losing one request after the other to an upstream that drops idle connections
   * earlier than it states. After the first stale connection, the pool reuses connections only up
   * to a shorter idle time, and lifts this limit some time later.
   */
  @Test
  public void staleConnectionLowersMaxIdleTime() {
    UpstreamPool pool =
        new UpstreamPool(
            new Bootstrap(),
            Bootstrap::connect,
            new InetSocketAddress("127.0.0.1", 1),
            new RelayHeaders(),
            true,
            outcome -> {});
    long now = System.nanoTime();
    assertEquals(pool.maxIdleNanos(now), Long.MAX_VALUE);
    pool.recordStale(TimeUnit.MILLISECONDS.toNanos(400));
    pool.recordStale(TimeUnit.MILLISECONDS.toNanos(900));
    assertEquals(pool.maxIdleNanos(now), TimeUnit.MILLISECONDS.toNanos(280));
    assertEquals(pool.maxIdleNanos(now + TimeUnit.SECONDS.toNanos(60)), Long.MAX_VALUE);
  }

  /**
   * An upstream with an invalid address provides no connection, so the request goes to another
   * upstream.
   */
  @Test
  public void upstreamWithoutAddressProvidesNoConnection() {
    UpstreamPool pool =
        new UpstreamPool(
            new Bootstrap(), Bootstrap::connect, null, new RelayHeaders(), true, outcome -> {});
    List<Boolean> connected = new ArrayList<>();
    pool.acquire("one", false, 2, connection -> connected.add(connection != null));
    pool.probe(connected::add);
    assertEquals(connected, List.of(false, false));
  }

  /** Counts what a pool delivered to a receiver. */
  private static final class CountingReceiver implements UpstreamPool.ConnectionReceiver {
    private final AtomicInteger connections = new AtomicInteger();
    private final AtomicInteger recalls = new AtomicInteger();

    @Override
    public void receive(@Nullable UpstreamConnection connection) {
      connections.incrementAndGet();
    }

    @Override
    public void recalled() {
      recalls.incrementAndGet();
    }
  }

  /**
   * Guards against requests that reach an upstream after it has asked for none, because they waited
   * for a connection to open or to become available.
   */
  @Test
  public void recalledAcquisitionsReceiveNoConnection() throws Exception {
    EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      InetSocketAddress address =
          new InetSocketAddress(InetAddress.getLoopbackAddress(), listener.getLocalPort());
      Bootstrap bootstrap = new Bootstrap().group(loop).channel(NioSocketChannel.class);
      UpstreamPool pool =
          new UpstreamPool(
              bootstrap, Bootstrap::connect, address, new RelayHeaders(), true, outcome -> {});
      CountingReceiver opening = new CountingReceiver();
      CountingReceiver waiting = new CountingReceiver();
      CompletableFuture<Boolean> later = new CompletableFuture<>();
      loop.execute(
          () -> {
            pool.acquire("one", false, 1, opening);
            pool.acquire("two", false, 1, waiting);
            pool.recallUnsent();
            pool.acquire("three", false, 1, connection -> later.complete(connection != null));
          });
      assertTrue(later.get(10, TimeUnit.SECONDS), "the opened connection is used");
      for (CountingReceiver recalled : List.of(opening, waiting)) {
        assertEquals(recalled.recalls.get(), 1);
        assertEquals(recalled.connections.get(), 0);
      }
    } finally {
      loop.shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
    }
  }

  /** Guards against a booking that waited and is lost on a connection which had been idle. */
  @Test
  public void waitingAcquisitionOfNewConnectionGetsNoUsedOne() throws Exception {
    EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    try (ServerSocket listener = new ServerSocket(0, 2, InetAddress.getLoopbackAddress())) {
      InetSocketAddress address =
          new InetSocketAddress(InetAddress.getLoopbackAddress(), listener.getLocalPort());
      Bootstrap bootstrap = new Bootstrap().group(loop).channel(NioSocketChannel.class);
      UpstreamPool pool =
          new UpstreamPool(
              bootstrap, Bootstrap::connect, address, new RelayHeaders(), true, outcome -> {});
      CompletableFuture<@Nullable UpstreamConnection> first = new CompletableFuture<>();
      CompletableFuture<@Nullable UpstreamConnection> waiting = new CompletableFuture<>();
      loop.execute(
          () -> {
            pool.acquire("one", false, 1, first::complete);
            pool.acquire("two", true, 1, waiting::complete);
          });
      UpstreamConnection used = first.get(10, TimeUnit.SECONDS);
      loop.execute(() -> pool.release(used));
      assertNotSame(waiting.get(10, TimeUnit.SECONDS), used);
    } finally {
      loop.shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
    }
  }
}
