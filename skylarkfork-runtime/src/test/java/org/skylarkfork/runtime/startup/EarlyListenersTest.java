package org.skylarkfork.runtime.startup;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.channels.ServerSocketChannel;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.FutureTask;
import org.testng.annotations.Test;

/** Tests {@link EarlyListeners}. */
public final class EarlyListenersTest {

  private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

  /** Maximum time of a test that only a wait without end exceeds, in milliseconds. */
  private static final long MAX_TEST_MILLIS = 60_000;

  private static InetSocketAddress freeAddress() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, LOOPBACK)) {
      return new InetSocketAddress(LOOPBACK, socket.getLocalPort());
    }
  }

  private static Map<InetSocketAddress, Integer> both(
      InetSocketAddress first, InetSocketAddress second) {
    Map<InetSocketAddress, Integer> backlogs = new LinkedHashMap<>();
    backlogs.put(first, 16);
    backlogs.put(second, 16);
    return backlogs;
  }

  private static FutureTask<Void> opening(
      EarlyListeners listeners, Map<InetSocketAddress, Integer> backlogs) {
    return new FutureTask<>(
        () -> {
          listeners.open(backlogs);
          return null;
        });
  }

  private static Thread start(Runnable task) {
    Thread thread = new Thread(task, "opening");
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  private static void awaitWaiting(Thread thread) {
    while (thread.isAlive() && thread.getState() != Thread.State.TIMED_WAITING) {
      Thread.onSpinWait();
    }
  }

  private static void connect(InetSocketAddress address) throws IOException {
    try (Socket socket = new Socket()) {
      socket.connect(address);
    }
  }

  /** A connection to a daemon that hasn't accepted anything yet must not be refused. */
  @Test
  public void connectionIsEstablishedBeforeTheListenerIsTaken() throws Exception {
    InetSocketAddress address = freeAddress();
    try (EarlyListeners listeners = new EarlyListeners()) {
      listeners.open(Map.of(address, 16));
      connect(address);
      assertEquals(listeners.count(), 1);
    }
  }

  /** Guards against a daemon that exits for a used port and leaves its other ports open. */
  @Test
  public void failureClosesListenersOpenedBefore() throws Exception {
    InetSocketAddress first = freeAddress();
    try (ServerSocket other = new ServerSocket(0, 1, LOOPBACK)) {
      InetSocketAddress used = new InetSocketAddress(LOOPBACK, other.getLocalPort());
      EarlyListeners listeners = new EarlyListeners(Duration.ZERO);
      listeners.open(Map.of(first, 16));
      IOException failure = expectThrows(IOException.class, () -> listeners.open(Map.of(used, 16)));
      assertTrue(
          failure.getMessage().contains(String.valueOf(used.getPort())), failure.getMessage());
      assertThrows(ConnectException.class, () -> connect(first));
      assertThrows(IllegalStateException.class, () -> listeners.take(first));
    }
  }

  /**
   * Guards against a daemon that ends because a port is in use for a moment, and against callers
   * that hang at one of its other ports meanwhile.
   */
  @Test(timeOut = MAX_TEST_MILLIS)
  public void portInUseForOneMomentIsOpenedOnceItIsReleased() throws Exception {
    InetSocketAddress first = freeAddress();
    try (ServerSocket other = new ServerSocket(0, 1, LOOPBACK);
        EarlyListeners listeners = new EarlyListeners()) {
      InetSocketAddress used = new InetSocketAddress(LOOPBACK, other.getLocalPort());
      FutureTask<Void> opening = opening(listeners, both(first, used));
      awaitWaiting(start(opening));
      assertThrows(ConnectException.class, () -> connect(first));
      other.close();
      opening.get();
      connect(first);
      connect(used);
      assertEquals(listeners.count(), 2);
    }
  }

  /** Guards against a daemon that doesn't end for SIGTERM while it waits for a port. */
  @Test(timeOut = MAX_TEST_MILLIS)
  public void closeEndsTheWaitForOnePort() throws Exception {
    try (ServerSocket other = new ServerSocket(0, 1, LOOPBACK)) {
      InetSocketAddress used = new InetSocketAddress(LOOPBACK, other.getLocalPort());
      EarlyListeners listeners = new EarlyListeners(BindRetry.UNLIMITED);
      FutureTask<Void> opening = opening(listeners, Map.of(used, 16));
      awaitWaiting(start(opening));
      listeners.close();
      ExecutionException failure = expectThrows(ExecutionException.class, opening::get);
      assertTrue(failure.getCause() instanceof IOException, failure.toString());
    }
  }

  /** A daemon that is stopped while it starts must refuse callers instead of keeping them. */
  @Test
  public void closeRefusesConnectionsAndFurtherListeners() throws Exception {
    InetSocketAddress address = freeAddress();
    EarlyListeners listeners = new EarlyListeners();
    listeners.open(Map.of(address, 16));
    listeners.close();
    assertThrows(ConnectException.class, () -> connect(address));
    assertThrows(IllegalStateException.class, () -> listeners.take(address));
  }

  /** A listener that was handed over belongs to the event loop and must stay open. */
  @Test
  public void takenListenerStaysOpenAndIsTakenOnce() throws Exception {
    InetSocketAddress address = freeAddress();
    EarlyListeners listeners = new EarlyListeners();
    listeners.open(Map.of(address, 16));
    try (ServerSocketChannel taken = listeners.take(address)) {
      assertNotNull(taken);
      assertNull(listeners.take(address));
      listeners.close();
      connect(address);
    }
  }
}
