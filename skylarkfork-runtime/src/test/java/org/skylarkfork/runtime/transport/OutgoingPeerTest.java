package org.skylarkfork.runtime.transport;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.DataInputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.simple.RandomSource;
import org.skylarkfork.core.message.MembershipMessage;
import org.skylarkfork.runtime.codec.Codec;
import org.testng.annotations.Test;

/** Tests of {@link OutgoingPeer}. */
public final class OutgoingPeerTest {

  private static final int QUEUED = 4096;
  private static final Duration CONNECT = Duration.ofSeconds(30);
  private static final Duration SILENCE = Duration.ofSeconds(90);
  private static final long LONGER_THAN_CONNECT = CONNECT.plusSeconds(10).toNanos();
  private static final long LONGER_THAN_SILENCE = SILENCE.plusSeconds(10).toNanos();

  private final PeerContext context =
      new PeerContext(
          new TransportSettings(
              "a",
              "test",
              1,
              "127.0.0.1",
              0,
              new TransportSettings.Limits(
                  QUEUED,
                  QUEUED,
                  CONNECT,
                  Duration.ofSeconds(60),
                  SILENCE,
                  Duration.ofSeconds(900),
                  Duration.ofSeconds(600),
                  Duration.ofSeconds(600)),
              null),
          new Codec(),
          event -> {},
          PeerFilter.PASS_ALL);

  private OutgoingPeer peer(InetSocketAddress address, EventLoopGroup loops) {
    return new OutgoingPeer(
        context,
        "b",
        address,
        new Bootstrap().group(loops).channel(NioSocketChannel.class),
        loops.next(),
        RandomSource.XO_SHI_RO_256_PP.create(1));
  }

  /**
   * Callers wait a second less after all VMs have lost their power. Each daemon has much to do at
   * its start and welcomes others late. A connection that is open is waited for; closed in the
   * meantime, it would lose the vote that waits on it, and both sides would begin anew.
   */
  @Test
  public void openConnectionTimesOutLaterThanUnopenedOne() throws Exception {
    EventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    try (ServerSocket busy = new ServerSocket(0, 8, InetAddress.getByName("127.0.0.1"))) {
      OutgoingPeer peer = peer(new InetSocketAddress("127.0.0.1", busy.getLocalPort()), loops);
      peer.send(context.message(new MembershipMessage.Nack(1, 7)));
      try (Socket accepted = busy.accept()) {
        int greeting = new DataInputStream(accepted.getInputStream()).readInt();
        assertTrue(greeting > 0, "the greeting has come, so the connection is open");
        peer.check(System.nanoTime() + LONGER_THAN_CONNECT);
        assertTrue(peer.queuedBytes() > 0, "what waits is kept");
        peer.check(System.nanoTime() + LONGER_THAN_SILENCE);
        assertEquals(peer.queuedBytes(), 0, "a connection that is silent for good is given up");
      }
    } finally {
      loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }
  }

  /** A VM without power answers nothing; its address is given up after the time to connect. */
  @Test
  public void unopenedConnectionTimesOut() throws InterruptedException {
    EventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    CountDownLatch released = new CountDownLatch(1);
    try {
      // Nothing opens on a loop that is kept busy.
      loops.next().submit(() -> released.await(1, TimeUnit.MINUTES));
      OutgoingPeer peer = peer(new InetSocketAddress("127.0.0.1", 9), loops);
      peer.send(context.message(new MembershipMessage.Nack(1, 7)));
      assertTrue(peer.queuedBytes() > 0);
      peer.check(System.nanoTime() + LONGER_THAN_CONNECT);
      assertEquals(peer.queuedBytes(), 0);
    } finally {
      released.countDown();
      loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }
  }
}
