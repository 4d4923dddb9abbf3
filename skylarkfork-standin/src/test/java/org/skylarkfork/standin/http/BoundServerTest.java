package org.skylarkfork.standin.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.FutureTask;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import reactor.core.publisher.Mono;
import reactor.netty.resources.LoopResources;

/** Tests of the order in which a server ends, with event loops that the tests hold up. */
public class BoundServerTest {

  private EventLoopGroup portLoop;
  private EventLoopGroup connectionLoop;
  private BoundServer server;
  private Thread closing;

  /** Binds a server with an event loop for its port and one for its connections. */
  @BeforeMethod
  public void start() {
    portLoop = new NioEventLoopGroup(1);
    connectionLoop = new NioEventLoopGroup(1);
    server =
        BoundServer.bind(
            "127.0.0.1",
            0,
            routes -> routes.post("/", (in, out) -> out.sendString(Mono.just("done"))),
            new TwoLoops(portLoop, connectionLoop));
    closing = new Thread(server::close);
  }

  /** Ends the event loops. */
  @AfterMethod
  public void end() {
    portLoop.shutdownGracefully();
    connectionLoop.shutdownGracefully();
  }

  /** Guards against an example that ends because its port is in use for a moment. */
  @Test(timeOut = 60_000)
  public void portInUseForOneMomentIsBoundOnceItIsReleased() throws Exception {
    try (ServerSocket used = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      int port = used.getLocalPort();
      FutureTask<BoundServer> binding =
          new FutureTask<>(() -> BoundServer.bind("127.0.0.1", port, routes -> {}));
      Thread thread = new Thread(binding, "binding");
      thread.setDaemon(true);
      thread.start();
      assertThrows(TimeoutException.class, () -> binding.get(1, TimeUnit.SECONDS));
      used.close();
      try (BoundServer bound = binding.get()) {
        assertEquals(bound.address(), "127.0.0.1:" + port);
      }
    }
  }

  /** Event loops that a test can hold up one by one. */
  private record TwoLoops(EventLoopGroup port, EventLoopGroup connections)
      implements LoopResources {

    @Override
    public EventLoopGroup onServer(boolean useNative) {
      return connections;
    }

    @Override
    public EventLoopGroup onServerSelect(boolean useNative) {
      return port;
    }
  }

  /**
   * Guards against a caller whose connection is cut while the port is open, who connects again and
   * is answered by a server that has ended.
   */
  @Test
  public void connectionsAreCutOnceThePortIsClosed() throws Exception {
    CountDownLatch portMayClose = new CountDownLatch(1);
    try (RawConnection caller = new RawConnection(server.address())) {
      assertEquals(call(caller), "answered");
      hold(portLoop, portMayClose);
      closing.start();
      awaitWaiting(closing);
      awaitTasks(connectionLoop);
      assertEquals(call(caller), "answered");

      portMayClose.countDown();
      closing.join();
      assertEquals(call(caller), "cut");
      expectThrows(IOException.class, () -> new RawConnection(server.address()));
    }
  }

  /**
   * Guards against a connection that was accepted before the port was closed, is registered after
   * the others were cut, and is answered by a server that has ended.
   */
  @Test
  public void connectionThatIsRegisteredLateIsCut() throws Exception {
    CountDownLatch mayRegister = new CountDownLatch(1);
    hold(connectionLoop, mayRegister);
    try (RawConnection caller = new RawConnection(server.address())) {
      caller.post("/", "late", "");
      awaitTasks(portLoop);
      awaitTasks(portLoop);
      closing.start();
      closing.join();
      mayRegister.countDown();
      assertEquals(read(caller), "cut");
    }
  }

  private static void hold(EventLoopGroup loop, CountDownLatch until) throws InterruptedException {
    CountDownLatch held = new CountDownLatch(1);
    loop.execute(
        () -> {
          held.countDown();
          awaitUninterrupted(until);
        });
    held.await();
  }

  private static void awaitUninterrupted(CountDownLatch until) {
    try {
      until.await();
    } catch (InterruptedException interrupted) {
      throw new IllegalStateException(interrupted);
    }
  }

  private static void awaitTasks(EventLoopGroup loop) throws InterruptedException {
    loop.submit(() -> {}).sync();
  }

  /** Waits until a thread waits for an event loop; what it had to do before that is done. */
  private static void awaitWaiting(Thread thread) {
    while (thread.getState() != Thread.State.WAITING
        && thread.getState() != Thread.State.TIMED_WAITING) {
      Thread.onSpinWait();
    }
  }

  private static String call(RawConnection connection) {
    try {
      connection.post("/", "id", "");
    } catch (IOException closed) {
      return "cut";
    }
    return read(connection);
  }

  private static String read(RawConnection connection) {
    try {
      String answer = connection.readAnswer();
      assertTrue(answer.startsWith("HTTP/1.1 200") && answer.endsWith("done"), answer);
      return "answered";
    } catch (IOException closed) {
      return "cut";
    }
  }
}
