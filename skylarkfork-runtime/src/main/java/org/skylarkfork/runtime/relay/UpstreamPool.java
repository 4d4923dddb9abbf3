package org.skylarkfork.runtime.relay;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.ImmediateEventExecutor;
import io.netty.util.internal.OutOfDirectMemoryError;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.answer.ConnectionUse;
import org.skylarkfork.core.reachability.ConnectOutcome;
import org.skylarkfork.runtime.http.InputEndObserver;
import org.skylarkfork.runtime.transport.ForwardException;
import org.skylarkfork.runtime.transport.ForwardResult;
import org.tinylog.Logger;

/** A pool of connections to one upstream; confined to one thread. */
final class UpstreamPool {

  /** Idle timeout of a connection if the upstream doesn't state one, in nanoseconds. */
  private static final long DEFAULT_IDLE_NANOS = 2_000_000_000L;

  private static final int MAX_PENDING = 256;

  /**
   * Fraction of the idle time of a stale connection up to which other connections are still used.
   */
  private static final double SAFE_IDLE_FRACTION = 0.7;

  /** Time for which the idle time of a stale connection limits the use of others. */
  private static final long STALE_RETENTION_NANOS = 20_000_000_000L;

  private final Bootstrap bootstrap;
  private final UpstreamConnector connector;
  private final @Nullable InetSocketAddress address;
  private final RelayDialect dialect;
  private final boolean reuses;
  private final Observer observer;
  private final Deque<UpstreamConnection> idle = new ArrayDeque<>();
  private final Deque<Acquisition> pending = new ArrayDeque<>();
  private final Set<Acquisition> connecting = new LinkedHashSet<>();
  private int openConnections;
  private long lastNumber;
  private long lastUsedAt;
  private long maxIdleNanos = Long.MAX_VALUE;
  private long staleAt;

  /**
   * Creates an empty pool.
   *
   * @param bootstrap options of connections
   * @param connector opens connections
   * @param address address of the upstream, or null if it is invalid
   * @param dialect mapping of the headers
   * @param reuses whether a connection is used for more than one request
   * @param observer receives what the pool's connections show
   */
  UpstreamPool(
      Bootstrap bootstrap,
      UpstreamConnector connector,
      @Nullable InetSocketAddress address,
      RelayDialect dialect,
      boolean reuses,
      Observer observer) {
    this.reuses = reuses;
    this.observer = observer;
    this.bootstrap = bootstrap;
    this.connector = connector;
    this.address = address;
    this.dialect = dialect;
  }

  /** Receives what the connections of a pool show of their upstream. */
  interface Observer {
    /** Reports the outcome of opening a connection. */
    void connected(ConnectOutcome outcome);

    /**
     * Reports an answer that isn't the one to the request in progress on its connection.
     *
     * @param idle whether no request was in progress
     * @param carried whether the answer names a request that the connection has carried before
     * @param use the use of the connection
     */
    default void extraAnswer(boolean idle, boolean carried, ConnectionUse use) {}
  }

  /** Receives a connection, or null if none could be opened. */
  interface ConnectionReceiver {
    void receive(@Nullable UpstreamConnection connection);

    /** Reports, in place of a connection, that the forwarding entry can't open one. */
    default void notForwarded() {
      receive(null);
    }

    /** Reports, in place of a connection, that the forwarding entry may send nothing for now. */
    default void forwardRejected() {
      receive(null);
    }

    /** Reports, in place of a connection, that the acquisition was recalled. */
    default void recalled() {
      receive(null);
    }
  }

  /** A request for a connection that waits for one, or for one to open. */
  private static final class Acquisition {
    private final String requestId;
    private final boolean fresh;
    private final int maxConnections;
    private final ConnectionReceiver receiver;
    private boolean recalled;

    private Acquisition(
        String requestId, boolean fresh, int maxConnections, ConnectionReceiver receiver) {
      this.requestId = requestId;
      this.fresh = fresh;
      this.maxConnections = maxConnections;
      this.receiver = receiver;
    }
  }

  /**
   * Passes a connection to a receiver, immediately or when one becomes available.
   *
   * <p>The connection has never carried a request with the same id: an upstream may answer a
   * request twice, and all attempts of a request have its id, so that the second answer to one
   * would be taken for the answer to the next on the same connection.
   *
   * @param requestId id of the request that the connection is to carry
   * @param fresh whether the connection must be new
   * @param maxConnections maximum number of open connections
   * @param receiver receives the connection, or null if none can be opened
   */
  void acquire(String requestId, boolean fresh, int maxConnections, ConnectionReceiver receiver) {
    long now = System.nanoTime();
    lastUsedAt = now;
    UpstreamConnection reusable = fresh ? null : takeNewestUsable(requestId, now);
    if (reusable != null) {
      receiver.receive(reusable);
    } else if (openConnections < maxConnections || closeOldestIdle()) {
      connect(new Acquisition(requestId, fresh, maxConnections, receiver));
    } else if (pending.size() < MAX_PENDING) {
      pending.addLast(new Acquisition(requestId, fresh, maxConnections, receiver));
    } else {
      receiver.receive(null);
    }
  }

  /** Reports whether the upstream accepts a connection; an opened connection stays in the pool. */
  void probe(Consumer<Boolean> result) {
    open(
        (opened, outcome) -> {
          if (opened != null) {
            release(opened);
          }
          result.accept(opened != null);
        });
  }

  /**
   * Recalls all acquisitions that still wait for a connection. Connections that are being opened
   * stay in the pool.
   *
   * <p>An upstream that is full answers while further requests wait for its connections. If they
   * waited on, each connection that an answer frees would carry one of them to it, within the time
   * for which that answer asks for none.
   */
  void recallUnsent() {
    List<Acquisition> unsent = new ArrayList<>(pending);
    unsent.addAll(connecting);
    pending.clear();
    connecting.clear();
    for (Acquisition acquisition : unsent) {
      acquisition.recalled = true;
      acquisition.receiver.recalled();
    }
  }

  private @Nullable UpstreamConnection takeNewestUsable(String requestId, long now) {
    Deque<UpstreamConnection> passedOver = new ArrayDeque<>();
    UpstreamConnection taken = null;
    while (taken == null && !idle.isEmpty()) {
      UpstreamConnection newest = idle.removeLast();
      if (!newest.isUsable(now)) {
        newest.close();
      } else if (newest.hasCarried(requestId)) {
        passedOver.addFirst(newest);
      } else {
        taken = newest;
      }
    }
    idle.addAll(passedOver);
    return taken;
  }

  private boolean closeOldestIdle() {
    UpstreamConnection oldest = idle.pollFirst();
    if (oldest != null) {
      oldest.close();
    }
    return oldest != null;
  }

  private void connect(Acquisition acquisition) {
    connecting.add(acquisition);
    open((opened, outcome) -> onOpened(acquisition, opened, outcome));
  }

  private void onOpened(
      Acquisition acquisition, @Nullable UpstreamConnection opened, ConnectOutcome outcome) {
    connecting.remove(acquisition);
    if (acquisition.recalled) {
      if (opened != null) {
        release(opened);
      }
    } else {
      switch (outcome) {
        case OPENED, UPSTREAM_UNREACHABLE -> acquisition.receiver.receive(opened);
        case FORWARDER_UNUSABLE -> acquisition.receiver.notForwarded();
        case REJECTED -> acquisition.receiver.forwardRejected();
        default -> throw new IllegalArgumentException("unknown outcome " + outcome);
      }
    }
  }

  private void open(BiConsumer<@Nullable UpstreamConnection, ConnectOutcome> receiver) {
    if (address == null) {
      // An exception here would halt every entry that sends to this one faulty upstream.
      receiver.accept(null, ConnectOutcome.UPSTREAM_UNREACHABLE);
      return;
    }
    openConnections++;
    InputEndObserver inputEnd = new InputEndObserver();
    UpstreamConnection connection =
        new UpstreamConnection(this, dialect, inputEnd, ++lastNumber, DEFAULT_IDLE_NANOS);
    Bootstrap handled =
        bootstrap
            .clone()
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    channel
                        .pipeline()
                        .addLast(
                            inputEnd,
                            new HttpRequestEncoder(),
                            new IdleBytesObserver(connection),
                            connection.decoder(),
                            connection);
                  }
                });
    startConnecting(handled, address)
        .addListener(
            done -> {
              ConnectOutcome outcome = outcomeOf(done);
              observer.connected(outcome);
              if (done.isSuccess()) {
                receiver.accept(connection, outcome);
              } else {
                openConnections--;
                receiver.accept(null, outcome);
                serveNextPending();
              }
            });
  }

  /** Starts to connect; a connector that throws hasn't connected, and the receiver must know. */
  private Future<Void> startConnecting(Bootstrap handled, InetSocketAddress target) {
    try {
      return connector.connect(handled, target);
    } catch (RuntimeException | LinkageError | OutOfDirectMemoryError failure) {
      Logger.warn(failure, "upstream: no connection to {} can be opened", target);
      return ImmediateEventExecutor.INSTANCE.newFailedFuture(failure);
    }
  }

  private static ConnectOutcome outcomeOf(Future<? super Void> connecting) {
    if (connecting.isSuccess()) {
      return ConnectOutcome.OPENED;
    }
    return connecting.cause() instanceof ForwardException failure
        ? outcomeOf(failure.result())
        : ConnectOutcome.UPSTREAM_UNREACHABLE;
  }

  private static ConnectOutcome outcomeOf(ForwardResult result) {
    return switch (result) {
      case OPENED -> ConnectOutcome.OPENED;
      case UNREACHABLE -> ConnectOutcome.UPSTREAM_UNREACHABLE;
      case UNUSABLE -> ConnectOutcome.FORWARDER_UNUSABLE;
      case REJECTED -> ConnectOutcome.REJECTED;
    };
  }

  /**
   * Records that the upstream had dropped an idle connection.
   *
   * <p>An upstream may drop connections earlier than it states. Each request on a dropped
   * connection is lost after it was sent and counts as a retry when it is sent again, so other
   * connections with a similar idle time aren't reused.
   *
   * @param idleNanos idle time of the stale connection, in nanoseconds
   */
  void recordStale(long idleNanos) {
    maxIdleNanos = Math.min(maxIdleNanos, (long) (idleNanos * SAFE_IDLE_FRACTION));
    staleAt = System.nanoTime();
  }

  void reportExtraAnswer(boolean idle, boolean carried, ConnectionUse use) {
    observer.extraAnswer(idle, carried, use);
  }

  /** Returns the maximum idle time of a connection that may be reused, in nanoseconds. */
  long maxIdleNanos(long now) {
    if (now - staleAt > STALE_RETENTION_NANOS) {
      maxIdleNanos = Long.MAX_VALUE;
    }
    return maxIdleNanos;
  }

  void release(UpstreamConnection connection) {
    if (!reuses) {
      connection.close();
      return;
    }
    connection.markIdle(System.nanoTime());
    idle.addLast(connection);
    serveNextPending();
  }

  void onClosed(UpstreamConnection connection) {
    openConnections--;
    idle.remove(connection);
    serveNextPending();
  }

  private void serveNextPending() {
    Acquisition next = pending.pollFirst();
    if (next != null) {
      acquire(next.requestId, next.fresh, next.maxConnections, next.receiver);
    }
  }

  /** Returns whether the pool has no connection in use and had no request for the given time. */
  boolean isUnused(long now, long nanos) {
    return pending.isEmpty() && openConnections == idle.size() && now - lastUsedAt > nanos;
  }

  void close() {
    while (!idle.isEmpty()) {
      idle.removeLast().close();
    }
  }
}
