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
 * The single outgoing connection to a peer, opened when there is a frame to send.
 *
 * <p>The loss of a connection drops the queued frames: they may be outdated, and the protocols
 * above resend what is still needed.
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
  private long stepStartedAt;
  private volatile boolean duplex;
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

  /** Returns the size in bytes of the frames queued for this peer. */
  int queuedBytes() {
    return queue.bytes();
  }

  /** Returns whether there is no connection to the peer, nor an attempt to open one. */
  synchronized boolean isIdle() {
    return state == State.IDLE;
  }

  /** Queues a frame and connects if there is no connection. */
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

  /** Sends a keep-alive frame if one is due; disconnects if a timeout has expired. */
  void check(long now) {
    String lost;
    synchronized (this) {
      lost = checkConnection(now);
    }
    reportLost(lost);
  }

  private @Nullable String checkConnection(long now) {
    TransportSettings.Limits limits = context.settings.limits();
    if (state == State.CONNECTING && now - stepStartedAt > stepTimeout(limits).toNanos()) {
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
    // A connection on which only the peer sends needs keep-alives too, or the peer takes it for
    // silent.
    long lastTwoWay = Math.min(lastReadAt, lastSentAt);
    if (now - Math.max(lastTwoWay, keepAliveSentAt) > limits.keepAliveInterval().toNanos()) {
      keepAliveSentAt = now;
      write(PeerContext.emptyFrame(Frame.Kind.KEEP_ALIVE));
    }
    return null;
  }

  /**
   * Returns the timeout of the current step of connecting.
   *
   * <p>A connection that is open but not welcomed belongs to a busy process, as all are at a
   * restart of the whole deployment after a crash of all daemons. Closing and reopening such a
   * connection made both sides repeat the work and lost the queued votes, which delayed the
   * election of a leader by 0.7 s.
   */
  private Duration stepTimeout(TransportSettings.Limits limits) {
    return connection == null ? limits.connectTimeout() : limits.silenceTimeout();
  }

  /**
   * Reports a lost connection.
   *
   * <p>Must be called without the lock: the call may block while the reducer's mailbox is full.
   */
  private void reportLost(@Nullable String why) {
    if (why != null) {
      context.reportLost(node, why);
    }
  }

  /** Sends the queued frames that the connection accepts, then closes permanently. */
  CompletableFuture<Void> close() {
    Channel channel;
    synchronized (this) {
      channel = state == State.READY ? connection : null;
    }
    if (channel == null) {
      closeNow();
      return CompletableFuture.completedFuture(null);
    }
    CompletableFuture<Void> sent = new CompletableFuture<>();
    channel
        .eventLoop()
        .execute(
            () -> {
              drain();
              channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(done -> sent.complete(null));
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
    stepStartedAt = System.nanoTime();
    attempt++;
    long currentAttempt = attempt;
    client
        .clone()
        .handler(new ConnectionInitializer(currentAttempt))
        .connect(address)
        .addListener(
            (ChannelFutureListener)
                done -> {
                  if (done.isSuccess()) {
                    onConnected(currentAttempt, done.channel());
                  } else {
                    onFailure(currentAttempt, done.cause());
                  }
                });
  }

  private synchronized void onConnected(long attemptNumber, Channel opened) {
    if (attemptNumber != attempt || state != State.CONNECTING) {
      opened.close();
      return;
    }
    connection = opened;
    stepStartedAt = System.nanoTime();
    TransportSettings settings = context.settings;
    write(
        context.handshake(
            new Handshake.Greeting(
                Handshake.VERSION,
                Handshake.OLDEST_VERSION,
                settings.node(),
                settings.cluster(),
                settings.incarnation())));
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
      } else if (frame.kind() != Frame.Kind.KEEP_ALIVE && !isMessage(frame)) {
        throw new TransportException(
            TransportException.Kind.BAD_FRAME,
            "a " + frame.kind() + " frame where only a message or a keep-alive is allowed",
            null);
      }
    }
    // Without the lock, since the reducer's mailbox may be full.
    if (isMessage(frame)) {
      context.deliver(node, frame);
    }
    scheduleDrain();
  }

  private boolean isMessage(Frame frame) {
    return duplex && frame.kind() == Frame.Kind.MESSAGE;
  }

  private void completeHandshake(Channel from, Handshake handshake) {
    if (handshake instanceof Handshake.Refusal refusal) {
      throw refused(refusal.reason() + ": " + refusal.detail());
    }
    if (!(handshake instanceof Handshake.Welcome welcome) || !node.equals(welcome.node())) {
      throw refused("another daemon responds at " + address + ": " + handshake);
    }
    if (!context.hasCertificateOf(from, node)) {
      throw refused("no certificate of " + node + " at " + address);
    }
    state = State.READY;
    duplex = welcome.version() >= Handshake.DUPLEX_VERSION;
    failures = 0;
    lastSentAt = System.nanoTime();
    keepAliveSentAt = lastSentAt;
    Logger.debug("peer: connected to {}, process {}", node, welcome.incarnation());
  }

  private static TransportException refused(String detail) {
    return new TransportException(TransportException.Kind.REFUSED, detail, null);
  }

  private void onFailure(long attemptNumber, @Nullable Throwable error) {
    String lost;
    synchronized (this) {
      if (attemptNumber != attempt || (state != State.CONNECTING && state != State.READY)) {
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

  /** Ends the current attempt or connection; returns the reason if it was lost, or null. */
  private @Nullable String disconnect(String why, boolean graceful) {
    final Channel channel = connection;
    final boolean wasReady = state == State.READY;
    connection = null;
    if (state == State.READY || state == State.CONNECTING) {
      state = State.WAITING;
      scheduler.schedule(this::retry, backoff(graceful), TimeUnit.NANOSECONDS);
    }
    if (channel != null) {
      channel.close();
    }
    if (graceful) {
      return null;
    }
    queue.clear();
    if (!wasReady && failures == 1) {
      Logger.info("peer: can't reach {} at {}: {}; retrying", node, address, why);
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
    // Without the random half all peers of a restarted daemon would reconnect at the same time.
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

  /** Writes queued frames while the connection is writable; the rest stays in the queue. */
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

  /** Installs the handlers of one connection attempt. */
  private final class ConnectionInitializer extends ChannelInitializer<Channel> {
    private final long attemptNumber;

    private ConnectionInitializer(long attemptNumber) {
      this.attemptNumber = attemptNumber;
    }

    @Override
    protected void initChannel(Channel channel) {
      context.prepare(channel, false);
      channel.pipeline().addLast(new ResponseHandler(attemptNumber));
    }
  }

  /** Handles the frames received on a connection, and its end. */
  private final class ResponseHandler extends SimpleChannelInboundHandler<ByteBuf> {
    private final long attemptNumber;

    private ResponseHandler(long attemptNumber) {
      this.attemptNumber = attemptNumber;
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
      onFailure(attemptNumber, null);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext handlerContext, Throwable error) {
      onFailure(attemptNumber, error);
      handlerContext.close();
    }
  }
}
