package org.skylarkfork.runtime.transport;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.commons.rng.UniformRandomProvider;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/**
 * The one outgoing connection to a peer, opened when there is something to send.
 *
 * <p>A lost connection drops what waits: it was addressed to a moment that has passed, and the
 * protocols above resend what still matters.
 */
final class OutgoingPeer {

  private enum State {
    IDLE,
    CONNECTING,
    READY,
    WAITING,
    CLOSED
  }

  private static final int MAX_DOUBLINGS = 16;

  private final PeerContext context;
  private final String node;
  private final InetSocketAddress address;
  private final Bootstrap client;
  private final ScheduledExecutorService scheduler;
  private final UniformRandomProvider random;
  private final OutgoingQueue queue;
  private final AtomicBoolean drainScheduled = new AtomicBoolean();

  private State state = State.IDLE;
  private @Nullable Channel connection;
  private int failures;
  private long attempt;
  private long startedAt;
  private volatile long lastReadAt;
  private volatile long keepAliveSentAt;
  private volatile long lastSentAt;

  OutgoingPeer(
      PeerContext context,
      String node,
      InetSocketAddress address,
      Bootstrap client,
      ScheduledExecutorService scheduler,
      UniformRandomProvider random) {
    this.context = context;
    this.node = node;
    this.address = address;
    this.client = client;
    this.scheduler = scheduler;
    this.random = random;
    this.queue =
        new OutgoingQueue(context.settings.limits().maxQueueBytes(), context.counters.dropped);
  }

  InetSocketAddress address() {
    return address;
  }

  /** Returns the bytes that wait for this peer. */
  int queuedBytes() {
    return queue.bytes();
  }

  /** Queues a frame and connects if need be. */
  void send(byte[] frame) {
    queue.add(frame);
    synchronized (this) {
      if (state == State.IDLE) {
        connect();
        return;
      }
    }
    scheduleDrain();
  }

  /** Keeps the connection alive, or ends it if it is overdue, silent or idle. */
  void check(long now) {
    String lost;
    synchronized (this) {
      lost = checkConnection(now);
    }
    reportLost(lost);
  }

  private @Nullable String checkConnection(long now) {
    TransportSettings.Limits limits = context.settings.limits();
    if (state == State.CONNECTING && now - startedAt > stepTimeout(limits).toNanos()) {
      return disconnect("no " + (connection == null ? "connection" : "welcome"), false);
    }
    if (state != State.READY) {
      return null;
    }
    if (now - lastReadAt > limits.silenceTimeout().toNanos()) {
      return disconnect("silent", false);
    }
    if (now - lastSentAt > limits.idleTimeout().toNanos()) {
      write(PeerContext.emptyFrame(Frame.Kind.GOODBYE));
      return disconnect("idle", true);
    }
    if (now - Math.max(lastReadAt, keepAliveSentAt) > limits.keepAliveInterval().toNanos()) {
      keepAliveSentAt = now;
      write(PeerContext.emptyFrame(Frame.Kind.KEEP_ALIVE));
    }
    return null;
  }

  /**
   * Returns how long the present step of connecting may take.
   *
   * <p>A connection that is open but not welcomed belongs to a process that has much to do, as all
   * have after a crash of everything. Closed and opened again, it cost both sides the work twice
   * and lost the votes that waited: a leader was there 0.7 s later.
   */
  private Duration stepTimeout(TransportSettings.Limits limits) {
    return connection == null ? limits.connectTimeout() : limits.silenceTimeout();
  }

  /** Called without the lock: the reducer may wait for it while its mailbox is full. */
  private void reportLost(@Nullable String why) {
    if (why != null) {
      context.reportLost(node, why);
    }
  }

  /** Sends what waits, as far as the connection takes it, and closes for good. */
  CompletableFuture<Void> close() {
    Channel last;
    synchronized (this) {
      last = state == State.READY ? connection : null;
    }
    if (last == null) {
      closeNow();
      return CompletableFuture.completedFuture(null);
    }
    CompletableFuture<Void> sent = new CompletableFuture<>();
    last.eventLoop()
        .execute(
            () -> {
              drain();
              last.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(done -> sent.complete(null));
            });
    return sent.whenComplete((done, failure) -> closeNow());
  }

  private synchronized void closeNow() {
    state = State.CLOSED;
    disconnect("closed", true);
    queue.clear();
  }

  private void connect() {
    state = State.CONNECTING;
    startedAt = System.nanoTime();
    attempt++;
    long thisAttempt = attempt;
    client
        .clone()
        .handler(new ConnectionInitializer(thisAttempt))
        .connect(address)
        .addListener(
            (ChannelFutureListener)
                done -> {
                  if (done.isSuccess()) {
                    onConnected(thisAttempt, done.channel());
                  } else {
                    onFailure(thisAttempt, done.cause());
                  }
                });
  }

  private synchronized void onConnected(long ofAttempt, Channel opened) {
    if (ofAttempt != attempt || state != State.CONNECTING) {
      opened.close();
      return;
    }
    connection = opened;
    startedAt = System.nanoTime();
    TransportSettings own = context.settings;
    write(
        context.handshake(
            new Handshake.Greeting(
                Handshake.VERSION,
                Handshake.OLDEST_VERSION,
                own.node(),
                own.cluster(),
                own.incarnation())));
  }

  private void receive(Channel from, ByteBuf buffer) {
    Frame frame = Frame.read(buffer);
    if (!context.filter.receivesFrom(node)) {
      return;
    }
    lastReadAt = System.nanoTime();
    synchronized (this) {
      if (connection != from) {
        return;
      }
      if (state == State.CONNECTING) {
        completeHandshake(from, context.readHandshake(frame));
      } else if (frame.kind() != Frame.Kind.KEEP_ALIVE) {
        throw new TransportException(
            TransportException.Kind.BAD_FRAME, "a " + frame.kind() + " as an answer", null);
      }
    }
    scheduleDrain();
  }

  private void completeHandshake(Channel from, Handshake handshake) {
    if (handshake instanceof Handshake.Refusal refusal) {
      throw refused(refusal.reason() + ": " + refusal.detail());
    }
    if (!(handshake instanceof Handshake.Welcome welcome) || !node.equals(welcome.node())) {
      throw refused("another daemon answers at " + address + ": " + handshake);
    }
    if (!context.hasCertificateOf(from, node)) {
      throw refused("no certificate of " + node + " at " + address);
    }
    state = State.READY;
    failures = 0;
    lastSentAt = System.nanoTime();
    keepAliveSentAt = lastSentAt;
    Logger.debug("peer: connected to {}, process {}", node, welcome.incarnation());
  }

  private static TransportException refused(String detail) {
    return new TransportException(TransportException.Kind.REFUSED, detail, null);
  }

  private void onFailure(long ofAttempt, @Nullable Throwable error) {
    String lost;
    synchronized (this) {
      if (ofAttempt != attempt || (state != State.CONNECTING && state != State.READY)) {
        return;
      }
      if (error != null) {
        context.recordFailure(node + " at " + address, error);
      }
      if (error instanceof TransportException) {
        failures = MAX_DOUBLINGS;
      }
      lost =
          disconnect(
              error == null ? "closed by the peer" : String.valueOf(error.getMessage()), false);
    }
    reportLost(lost);
  }

  /** Ends the present attempt or connection; returns why if a greeted connection was lost. */
  private @Nullable String disconnect(String why, boolean graceful) {
    final Channel last = connection;
    final boolean wasReady = state == State.READY;
    connection = null;
    if (state == State.READY || state == State.CONNECTING) {
      state = State.WAITING;
      scheduler.schedule(this::retry, backoff(graceful), TimeUnit.NANOSECONDS);
    }
    if (last != null) {
      last.close();
    }
    if (graceful) {
      return null;
    }
    queue.clear();
    if (!wasReady && failures == 1) {
      Logger.info("peer: can't reach {} at {}: {}; trying again", node, address, why);
    }
    return wasReady ? why : null;
  }

  private long backoff(boolean graceful) {
    if (graceful) {
      return 0;
    }
    Duration shortest = context.settings.limits().minBackoff();
    Duration longest = context.settings.limits().maxBackoff();
    long doubled = shortest.toNanos() << Math.min(failures, MAX_DOUBLINGS);
    failures++;
    long wait = Math.min(doubled, longest.toNanos());
    // Without the random half all peers of a restarted daemon would come back in one moment.
    return wait / 2 + random.nextLong(wait / 2 + 1);
  }

  private synchronized void retry() {
    if (state == State.WAITING) {
      state = State.IDLE;
      if (queue.bytes() > 0) {
        connect();
      }
    }
  }

  private void write(byte[] frame) {
    Channel open = connection;
    if (open != null && context.filter.sendsTo(node)) {
      open.writeAndFlush(Unpooled.wrappedBuffer(frame));
    }
  }

  private void scheduleDrain() {
    Channel open;
    synchronized (this) {
      open = state == State.READY ? connection : null;
    }
    if (open != null && drainScheduled.compareAndSet(false, true)) {
      open.eventLoop().execute(this::drain);
    }
  }

  /** Writes as long as the connection takes bytes; the rest stays in the bounded queue. */
  private void drain() {
    drainScheduled.set(false);
    Channel channel;
    synchronized (this) {
      if (state != State.READY || connection == null) {
        return;
      }
      channel = connection;
    }
    while (channel.isActive() && channel.isWritable()) {
      byte[] frame = queue.poll();
      if (frame == null) {
        break;
      }
      lastSentAt = System.nanoTime();
      if (context.filter.sendsTo(node)) {
        channel.write(Unpooled.wrappedBuffer(frame));
        context.counters.sent.increment();
      }
    }
    channel.flush();
  }

  /** Sets up the handlers of one attempt to connect. */
  private final class ConnectionInitializer extends ChannelInitializer<Channel> {
    private final long ofAttempt;

    private ConnectionInitializer(long ofAttempt) {
      this.ofAttempt = ofAttempt;
    }

    @Override
    protected void initChannel(Channel channel) {
      context.prepare(channel, false);
      channel.pipeline().addLast(new ResponseHandler(ofAttempt));
    }
  }

  /** Takes what comes back on a connection, and its end. */
  private final class ResponseHandler extends SimpleChannelInboundHandler<ByteBuf> {
    private final long ofAttempt;

    private ResponseHandler(long ofAttempt) {
      this.ofAttempt = ofAttempt;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext handlerContext, ByteBuf buffer) {
      receive(handlerContext.channel(), buffer);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext handlerContext) {
      scheduleDrain();
      handlerContext.fireChannelWritabilityChanged();
    }

    @Override
    public void channelInactive(ChannelHandlerContext handlerContext) {
      onFailure(ofAttempt, null);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext handlerContext, Throwable error) {
      onFailure(ofAttempt, error);
      handlerContext.close();
    }
  }
}
