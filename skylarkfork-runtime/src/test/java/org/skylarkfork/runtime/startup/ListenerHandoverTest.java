package org.skylarkfork.runtime.startup;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.Future;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.channels.ClosedChannelException;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link ListenerHandover} with addresses that are in use. */
public final class ListenerHandoverTest {

  private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

  /** Maximum time of a wait that only a fault exceeds, in milliseconds. */
  private static final long MAX_WAIT_MILLIS = 60_000;

  private EventLoop eventLoop = newLoop();

  private static EventLoop newLoop() {
    return new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
  }

  /** Creates the event loop of a test. */
  @BeforeMethod
  public void open() {
    eventLoop = newLoop();
  }

  /** Ends the event loop. */
  @AfterMethod
  public void close() {
    shutDown();
  }

  private void shutDown() {
    eventLoop.shutdownGracefully(0, MAX_WAIT_MILLIS, TimeUnit.MILLISECONDS).syncUninterruptibly();
  }

  private Future<Channel> listen(ServerSocket used, Duration maxWait) {
    ServerBootstrap server =
        new ServerBootstrap().group(eventLoop).childHandler(new ChannelInboundHandlerAdapter());
    InetSocketAddress address = new InetSocketAddress(LOOPBACK, used.getLocalPort());
    return ListenerHandover.listen(server, address, null, maxWait);
  }

  /** Runs the tasks that an attempt queues behind each other. */
  private void awaitFirstAttempt() {
    for (int task = 0; task < 10; task++) {
      eventLoop.submit(() -> {}).syncUninterruptibly();
    }
  }

  /** Guards against a daemon that ends because one of its ports is in use for a moment. */
  @Test
  public void portInUseForOneMomentIsBoundOnceItIsReleased() throws Exception {
    try (ServerSocket used = new ServerSocket(0, 1, LOOPBACK)) {
      Future<Channel> bound = listen(used, BindRetry.MAX_WAIT);
      awaitFirstAttempt();
      assertFalse(bound.isDone());
      used.close();
      assertTrue(bound.await(MAX_WAIT_MILLIS));
      assertTrue(bound.isSuccess());
      assertEquals(
          ((InetSocketAddress) bound.getNow().localAddress()).getPort(), used.getLocalPort());
    }
  }

  /** A port that stays in use must fail, so that the daemon can say so and end. */
  @Test
  public void portInUseForLongerThanTheWaitFails() throws Exception {
    try (ServerSocket used = new ServerSocket(0, 1, LOOPBACK)) {
      Future<Channel> bound = listen(used, Duration.ofMillis(1));
      assertTrue(bound.await(MAX_WAIT_MILLIS));
      assertTrue(bound.cause() instanceof BindException);
    }
  }

  /** Guards against a start that waits for a listener on an event loop that has ended. */
  @Test
  public void endOfTheEventLoopEndsTheWait() throws Exception {
    try (ServerSocket used = new ServerSocket(0, 1, LOOPBACK)) {
      Future<Channel> bound = listen(used, BindRetry.UNLIMITED);
      awaitFirstAttempt();
      shutDown();
      assertTrue(bound.await(MAX_WAIT_MILLIS));
      assertTrue(bound.cause() instanceof ClosedChannelException);
    }
  }
}
