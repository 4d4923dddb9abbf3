package org.skylarkfork.runtime.relay;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/** Ends the service of callers within the grace time of a daemon's shutdown. */
final class RelayShutdown {

  /**
   * Time from the start of a shutdown until the lists of entries that callers hold have expired.
   */
  private static final Duration ENTRY_LIST_EXPIRY = Duration.ofMillis(6300);

  private static final Duration STOP_MARGIN = Duration.ofMillis(500);
  private static final Duration STOPPING_IDLE_TIMEOUT = Duration.ofMillis(100);
  private static final long POLL_INTERVAL_MILLIS = 50;

  private final EventLoop eventLoop;
  private final long end;

  /**
   * Starts a shutdown.
   *
   * @param eventLoop event loop that serves the callers
   * @param grace time from now until the daemon is killed
   */
  RelayShutdown(EventLoop eventLoop, Duration grace) {
    this.eventLoop = eventLoop;
    this.end = System.nanoTime() + grace.minus(STOP_MARGIN).toNanos();
  }

  /**
   * Waits until the last caller has left or the grace time ends.
   *
   * @param server serves the callers; null on a daemon that isn't an entry
   */
  void await(@Nullable RelayCallerServer server) throws InterruptedException {
    if (server != null) {
      eventLoop.execute(server::disableKeepAlive);
      awaitListExpiry();
    }
    awaitRequests(server);
  }

  /**
   * Takes no further callers, and waits until the last one has left or the grace time ends.
   *
   * @param server serves the callers; null on a daemon that isn't an entry
   */
  void awaitRequests(@Nullable RelayCallerServer server) throws InterruptedException {
    if (server == null) {
      TimeUnit.MILLISECONDS.sleep(2 * POLL_INTERVAL_MILLIS);
      return;
    }
    eventLoop.execute(server::disableKeepAlive);
    eventLoop.execute(server::stopListening);
    awaitLastCaller(server);
  }

  private void awaitListExpiry() throws InterruptedException {
    long listsExpired = Math.min(end, System.nanoTime() + ENTRY_LIST_EXPIRY.toNanos());
    while (System.nanoTime() < listsExpired) {
      TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
    }
  }

  private void awaitLastCaller(RelayCallerServer server) throws InterruptedException {
    CountDownLatch done = new CountDownLatch(1);
    while (System.nanoTime() < end && done.getCount() > 0) {
      eventLoop.execute(
          () -> {
            server.closeIdle(STOPPING_IDLE_TIMEOUT);
            if (server.activeRequests() == 0 && server.openConnections() == 0) {
              done.countDown();
            }
          });
      done.await(POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }
  }
}
