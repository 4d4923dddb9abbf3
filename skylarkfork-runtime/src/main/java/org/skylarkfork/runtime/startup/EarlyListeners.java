package org.skylarkfork.runtime.startup;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Listening sockets that are open before the event loop exists. Connections wait in the kernel's
 * queue until the sockets are handed over.
 *
 * <p>A daemon uses 0.3 s of CPU time between the start of its process and its event loop, which on
 * a third of a core is most of a second. A caller that is refused in that time has used up its only
 * retry; one that waits in the kernel's queue is served.
 *
 * <p>The class needs nothing outside {@code java.base} unless a port is in use, and is thread-safe.
 */
public final class EarlyListeners implements AutoCloseable {

  /**
   * Requested length of the kernel's queue. The kernel reduces it to its own maximum, which is also
   * the default length of the listeners that the event loop opens.
   */
  private static final int MAX_BACKLOG = 65_535;

  private final Duration maxWait;
  private final Map<InetSocketAddress, ServerSocketChannel> waiting = new LinkedHashMap<>();
  private boolean closed;

  /** Creates an instance without listeners; all listeners then open at the event loop. */
  public EarlyListeners() {
    this(BindRetry.MAX_WAIT);
  }

  /**
   * Creates an instance without listeners.
   *
   * @param maxWait longest time to try addresses that are in use
   */
  EarlyListeners(Duration maxWait) {
    this.maxWait = maxWait;
  }

  /**
   * Opens listeners, all or none. While one address is in use, none of the others is held: a caller
   * whose connection is refused tries another entry at once, and one that waits for a daemon that
   * may never start doesn't.
   *
   * @param backlogs maximum number of connections that wait, by the address to listen on; 0 for the
   *     kernel's maximum
   * @throws IOException if an address can't be used for as long as it is tried, or {@link #close}
   *     ends the wait; all listeners are then closed
   */
  public synchronized void open(Map<InetSocketAddress, Integer> backlogs) throws IOException {
    BindRetry retry = new BindRetry(maxWait, System.nanoTime());
    InetSocketAddress used = tryOpen(backlogs, retry);
    while (used != null) {
      awaitNextAttempt(used, retry.delayMillis(System.nanoTime()));
      used = tryOpen(backlogs, retry);
    }
  }

  /** Returns the address that is in use and may be tried again, or null if all are open. */
  private @Nullable InetSocketAddress tryOpen(
      Map<InetSocketAddress, Integer> backlogs, BindRetry retry) throws IOException {
    Map<InetSocketAddress, ServerSocketChannel> opened = new LinkedHashMap<>();
    for (Map.Entry<InetSocketAddress, Integer> wanted : backlogs.entrySet()) {
      InetSocketAddress address = wanted.getKey();
      try {
        opened.put(address, bind(address, wanted.getValue()));
      } catch (IOException unusable) {
        closeAll(opened);
        if (!retry.shouldRetry(address, unusable, System.nanoTime())) {
          close();
          throw failure(address, unusable.getMessage(), unusable);
        }
        return address;
      }
    }
    opened.keySet().forEach(address -> retry.onBound(address, System.nanoTime()));
    waiting.putAll(opened);
    return null;
  }

  private static ServerSocketChannel bind(InetSocketAddress address, int backlog)
      throws IOException {
    ServerSocketChannel channel = ServerSocketChannel.open();
    try {
      channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
      return channel.bind(address, backlog > 0 ? backlog : MAX_BACKLOG);
    } catch (IOException unusable) {
      channel.close();
      throw unusable;
    }
  }

  /** Waits for the next attempt; the lock is free meanwhile, so that others can close. */
  private void awaitNextAttempt(InetSocketAddress used, long millis) throws IOException {
    try {
      wait(millis);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      close();
    }
    if (closed) {
      throw failure(used, "the start was given up", null);
    }
  }

  private static IOException failure(
      InetSocketAddress address, @Nullable String reason, @Nullable IOException cause) {
    return new IOException("can't listen on " + address + ": " + reason, cause);
  }

  /**
   * Hands a listener over to the caller, who has to close it. Returns null if the address has no
   * early listener or it was handed over before.
   *
   * @param address address as it was opened
   * @throws IllegalStateException if the listeners were closed, so that a daemon that was stopped
   *     while it starts doesn't listen again
   */
  public synchronized @Nullable ServerSocketChannel take(InetSocketAddress address) {
    if (closed) {
      throw new IllegalStateException("the listeners are closed");
    }
    return waiting.remove(address);
  }

  /** Returns the number of listeners that weren't handed over. */
  public synchronized int count() {
    return waiting.size();
  }

  /** Closes the listeners that weren't handed over; their waiting connections are reset. */
  @Override
  public synchronized void close() {
    closed = true;
    closeAll(waiting);
    notifyAll();
  }

  private static void closeAll(Map<InetSocketAddress, ServerSocketChannel> channels) {
    for (ServerSocketChannel channel : channels.values()) {
      try {
        channel.close();
      } catch (IOException ignored) {
        // The socket is closed in any case; nothing was accepted from it.
      }
    }
    channels.clear();
  }
}
