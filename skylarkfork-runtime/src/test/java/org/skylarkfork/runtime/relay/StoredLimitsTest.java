package org.skylarkfork.runtime.relay;

import static org.testng.Assert.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.Part;
import org.skylarkfork.core.Reducer;
import org.skylarkfork.core.event.Event;
import org.skylarkfork.core.event.RelayEvent;
import org.skylarkfork.core.relay.RelayLimits;
import org.skylarkfork.runtime.codec.Codec;
import org.skylarkfork.runtime.loop.EventLoopReducer;
import org.skylarkfork.runtime.transport.PeerTransport;
import org.skylarkfork.runtime.transport.TransportSettings;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests an entry with limits of a stored configuration that no configuration may set any more. */
public final class StoredLimitsTest {

  private static final int MAX_CALLERS = 1000;
  private static final long MAX_WAIT_SECONDS = 20;
  private static final String REQUEST =
      "POST /lookup/x HTTP/1.1\r\nHost: host.example\r\nX-Request-Id: one\r\n"
          + "Content-Length: 4\r\n\r\nbody";

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
    eventLoop.shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
  }

  /** Limits that were accepted once. */
  @DataProvider
  public Object[][] storedLimits() {
    return new Object[][] {
      {new RelayLimits(-1, -1, -1, -1)},
      {new RelayLimits(0, 0, 0, 0)},
      {new RelayLimits(Integer.MIN_VALUE, Integer.MIN_VALUE, Integer.MIN_VALUE, Integer.MIN_VALUE)},
      {new RelayLimits(Integer.MAX_VALUE, Integer.MAX_VALUE, Integer.MAX_VALUE, Integer.MAX_VALUE)},
    };
  }

  /** Counts down when a request arrives. */
  private record ArrivalPart(CountDownLatch arrived) implements Part {

    @Override
    public void apply(Event event, Instant now, Output output) {
      if (event instanceof RelayEvent.RequestArrived) {
        arrived.countDown();
      }
    }
  }

  private RelayCallerServer server(RelayLimits limits, CountDownLatch arrived) {
    EventLoopReducer loop =
        new EventLoopReducer(
            () -> Instant.EPOCH,
            eventLoop,
            effect -> {},
            failure -> {
              throw new AssertionError(failure);
            });
    loop.start(new Reducer(List.of(new ArrivalPart(arrived))), Duration.ofDays(1), () -> {});
    TransportSettings settings =
        new TransportSettings(
            "node", "test", 1, "127.0.0.1", 0, TransportSettings.Limits.DEFAULT, null);
    return new RelayCallerServer(
        eventLoop,
        new RelayHeaders(),
        loop,
        (bootstrap, address) -> bootstrap.connect(address),
        new ForwardingConnector(new PeerTransport(settings, new Codec(), event -> {}, eventLoop)),
        List::of,
        () -> limits,
        MAX_CALLERS);
  }

  /** Guards against an entry that takes no caller's connection for what it once stored. */
  @Test(dataProvider = "storedLimits")
  public void requestArrivesWhateverLimitsAreStored(RelayLimits limits) throws Exception {
    CountDownLatch arrived = new CountDownLatch(1);
    RelayCallerServer server = server(limits, arrived);
    InetAddress host = InetAddress.getLoopbackAddress();
    InetSocketAddress address = server.start(new InetSocketAddress(host, 0), null);
    try (Socket caller = new Socket(host, address.getPort())) {
      long afterSweep = System.nanoTime() + TimeUnit.MINUTES.toNanos(1);
      eventLoop.submit(() -> server.tick(afterSweep)).sync();
      caller.getOutputStream().write(REQUEST.getBytes(StandardCharsets.US_ASCII));
      assertTrue(arrived.await(MAX_WAIT_SECONDS, TimeUnit.SECONDS));
    }
  }
}
