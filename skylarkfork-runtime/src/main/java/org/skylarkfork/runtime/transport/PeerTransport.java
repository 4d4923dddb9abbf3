package org.skylarkfork.runtime.transport;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.Promise;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.time.Duration;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.apache.commons.rng.simple.RandomSource;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.effect.PeerEffect;
import org.skylarkfork.core.event.Event;
import org.skylarkfork.core.message.PeerMessage;
import org.skylarkfork.runtime.codec.BinaryCodec;
import org.skylarkfork.runtime.packed.Packing;
import org.skylarkfork.runtime.startup.BindRetry;
import org.skylarkfork.runtime.startup.ListenerHandover;
import org.tinylog.Logger;

/**
 * Sends and receives messages between the daemons over TCP.
 *
 * <p>Messages to a peer are sent over the connection that the peer opened, or over one outgoing
 * connection if there is none. After a restart of a whole deployment all entries connect to the
 * same few control VMs at once; a connection in each direction doubled the work of a control VM
 * that has to take part in an election at that moment. A message is delivered at most once;
 * messages of one connection are delivered in order. All methods are thread-safe.
 */
public final class PeerTransport implements AutoCloseable {

  private static final int THREADS = 2;
  private static final int MAX_INCOMING = 4096;
  private static final int CHECKS_PER_TIMEOUT = 4;
  private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(2);

  private final PeerContext context;
  private final EventLoopGroup loops;
  private final boolean ownsLoops;
  private final Map<String, OutgoingPeer> outgoing = new ConcurrentHashMap<>();
  private final Map<String, IncomingPeer> greetedPeers = new ConcurrentHashMap<>();
  private final Set<IncomingPeer> incoming = ConcurrentHashMap.newKeySet();
  private final Bootstrap client;
  private ForwardedConnections forwarded = new ForwardedConnections(ForwardTargets.NONE);
  private int maxUngreeted = MAX_INCOMING;
  private @Nullable Channel server;

  /**
   * Creates a transport that isn't started.
   *
   * @param settings identity of this daemon, addresses and limits
   * @param codec encodes and decodes the payloads
   * @param events receives the events, on the transport's threads
   * @param filter decides which frames are dropped silently
   * @throws TransportException if the certificate files can't be used
   */
  public PeerTransport(
      TransportSettings settings, BinaryCodec codec, Consumer<Event> events, PeerFilter filter) {
    this(settings, codec, events, filter, newEventLoops(), true);
  }

  /**
   * Creates a transport on the event loop of the caller, so that a message is delivered without a
   * thread switch.
   *
   * @param settings identity of this daemon, addresses and limits
   * @param codec encodes and decodes the payloads
   * @param events receives the events, on the threads of the event loop
   * @param loop the event loop; not closed with the transport
   */
  public PeerTransport(
      TransportSettings settings, BinaryCodec codec, Consumer<Event> events, EventLoopGroup loop) {
    this(settings, codec, events, PeerFilter.PASS_ALL, loop, false);
  }

  private PeerTransport(
      TransportSettings settings,
      BinaryCodec codec,
      Consumer<Event> events,
      PeerFilter filter,
      EventLoopGroup loops,
      boolean ownsLoops) {
    this.context = new PeerContext(settings, codec, events, filter);
    this.loops = loops;
    this.ownsLoops = ownsLoops;
    this.client =
        new Bootstrap()
            .group(loops)
            .channel(NioSocketChannel.class)
            .localAddress(new InetSocketAddress(settings.host(), 0))
            .option(ChannelOption.TCP_NODELAY, true)
            .option(
                ChannelOption.CONNECT_TIMEOUT_MILLIS,
                (int) settings.limits().connectTimeout().toMillis());
  }

  /** Creates a transport without a filter. */
  public PeerTransport(TransportSettings settings, BinaryCodec codec, Consumer<Event> events) {
    this(settings, codec, events, PeerFilter.PASS_ALL);
  }

  /** Returns the hand-written codec of the handshakes. */
  public static Packing<?> handshakePacking() {
    return new HandshakePacking();
  }

  /**
   * Opens the listener.
   *
   * @throws TransportException if the address can't be used
   */
  public void start() {
    start(null);
  }

  /**
   * Starts to accept connections.
   *
   * @param open listener that is open at the address of the settings, or null to open one
   * @throws TransportException if the address can't be used
   */
  public void start(@Nullable ServerSocketChannel open) {
    TransportSettings settings = context.settings;
    InetSocketAddress address = new InetSocketAddress(settings.host(), settings.port());
    ServerBootstrap acceptor =
        new ServerBootstrap()
            .group(loops)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(new IncomingInitializer());
    Future<Channel> bound =
        ListenerHandover.listen(acceptor, address, open, BindRetry.MAX_WAIT).awaitUninterruptibly();
    if (!bound.isSuccess()) {
      throw new TransportException(
          TransportException.Kind.ADDRESS_UNUSABLE,
          settings.host() + ":" + settings.port() + ": " + bound.cause().getMessage(),
          bound.cause());
    }
    server = bound.getNow();
    TransportSettings.Limits limits = settings.limits();
    long shortest =
        Math.min(limits.keepAliveInterval().toNanos(), limits.connectTimeout().toNanos());
    long period = shortest / CHECKS_PER_TIMEOUT;
    loops.next().scheduleAtFixedRate(this::check, period, period, TimeUnit.NANOSECONDS);
    Logger.info("peer: listening on {}:{}", settings.host(), port());
  }

  /** Returns the port of the listener; must be called after {@link #start}. */
  public int port() {
    if (server == null) {
      throw new IllegalStateException("the transport isn't started; call start() first");
    }
    return ((InetSocketAddress) server.localAddress()).getPort();
  }

  /** Executes an effect; never blocks. */
  public void execute(PeerEffect effect) {
    if (effect instanceof PeerEffect.SendToPeer send) {
      send(send.node(), send.message());
    } else if (effect instanceof PeerEffect.LearnPeer learn) {
      learn(learn.node(), new InetSocketAddress(learn.host(), learn.port()));
    } else if (effect instanceof PeerEffect.ForgetPeer forget) {
      forget(forget.node());
    }
  }

  /**
   * Accepts requests of peers for connections; must be called before {@link #start}.
   *
   * @param targets opens the connections
   */
  public void forwardTo(ForwardTargets targets) {
    forwarded = new ForwardedConnections(targets);
  }

  /**
   * Limits the accepted connections that haven't greeted; must be called before {@link #start}.
   * Others than daemons could otherwise take all descriptors.
   *
   * @param maxConnections maximum number; beyond it the oldest is closed
   */
  public void limitUngreeted(int maxConnections) {
    maxUngreeted = maxConnections;
  }

  /** Returns the number of connections that are open for peers. */
  public int forwardedConnections() {
    return forwarded.count();
  }

  /**
   * Opens a connection to a target through a peer.
   *
   * @param bootstrap options and handlers of the connection
   * @param peer address of the peer
   * @param target address to which the peer connects
   * @return completes when the connection is open, or fails with a {@link ForwardException}
   */
  public Future<Void> openForwarded(Bootstrap bootstrap, InetSocketAddress peer, String target) {
    Promise<Void> opened = loops.next().newPromise();
    ChannelFuture connecting = bootstrap.connect(peer);
    Channel channel = connecting.channel();
    connecting.addListener(
        done -> {
          if (done.isSuccess()) {
            context.prepare(channel, false);
            context.addAfterFrames(channel, new ForwardRequest(context, target, opened));
          } else {
            opened.tryFailure(new ForwardException(ForwardResult.UNUSABLE));
          }
        });
    return opened;
  }

  /**
   * Reloads the certificate files; new connections use them if they changed.
   *
   * @return whether they had changed
   * @throws TransportException if the new files can't be used; the old ones stay in use
   */
  public boolean reload() {
    boolean changed = context.tls != null && context.tls.reload();
    if (changed) {
      Logger.info("peer: certificates reloaded");
    }
    return changed;
  }

  /** Returns the counts since the start. */
  public TransportCounts counts() {
    return context.counters.counts();
  }

  /**
   * Returns the size in bytes of the frames queued for a peer, at most the limit of the settings; 0
   * if the peer is unknown.
   */
  public int queuedBytes(String node) {
    OutgoingPeer peer = outgoing.get(node);
    return peer == null ? 0 : peer.queuedBytes();
  }

  /** Returns the number of open incoming connections. */
  public int incomingConnections() {
    return incoming.size();
  }

  /** Sends the queued frames, waiting at most two seconds, and closes all connections. */
  @Override
  public void close() {
    CompletableFuture<?>[] sent =
        outgoing.values().stream().map(OutgoingPeer::close).toArray(CompletableFuture<?>[]::new);
    CompletableFuture.allOf(sent)
        .completeOnTimeout(null, CLOSE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
        .join();
    CompletableFuture<?>[] answered =
        incoming.stream().map(IncomingPeer::closeAfterWrites).toArray(CompletableFuture<?>[]::new);
    CompletableFuture.allOf(answered)
        .completeOnTimeout(null, CLOSE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
        .join();
    if (server != null) {
      server.close().awaitUninterruptibly(CLOSE_TIMEOUT.toMillis());
    }
    if (ownsLoops) {
      loops
          .shutdownGracefully(0, CLOSE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
          .awaitUninterruptibly();
    }
  }

  private void send(String node, PeerMessage message) {
    OutgoingPeer peer = outgoing.get(node);
    if (peer == null) {
      context.counters.dropped.increment();
      return;
    }
    byte[] frame = context.message(message);
    if (frame.length - Frame.LENGTH_BYTES > context.settings.limits().maxFrameBytes()) {
      // The receiver would reject the frame and close the connection, which drops all queued
      // frames.
      context.counters.dropped.increment();
      context.warnRateLimited(
          "peer: dropped a message to {} that is too long: {}", node, frame.length + " bytes");
      return;
    }
    IncomingPeer opened = greetedPeers.get(node);
    boolean isSent = peer.isIdle() && opened != null && opened.send(frame);
    if (!isSent) {
      peer.send(frame);
    }
  }

  private void learn(String node, InetSocketAddress address) {
    OutgoingPeer known = outgoing.get(node);
    if (known != null && known.address().equals(address)) {
      return;
    }
    long seed = context.settings.incarnation() * 31 + node.hashCode();
    OutgoingPeer replaced =
        outgoing.put(
            node,
            new OutgoingPeer(
                context,
                node,
                address,
                client,
                loops.next(),
                RandomSource.XO_SHI_RO_256_PP.create(seed)));
    if (replaced != null) {
      replaced.close();
      IncomingPeer opened = greetedPeers.remove(node);
      if (opened != null) {
        opened.closeNormally();
      }
    }
  }

  private void forget(String node) {
    OutgoingPeer known = outgoing.remove(node);
    if (known != null) {
      known.close();
    }
    IncomingPeer open = greetedPeers.remove(node);
    if (open != null) {
      open.closeNormally();
    }
  }

  /** Installs the handlers of an incoming connection. */
  private final class IncomingInitializer extends ChannelInitializer<Channel> {
    @Override
    protected void initChannel(Channel channel) {
      if (incoming.size() >= MAX_INCOMING) {
        context.counters.refused.increment();
        channel.close();
        return;
      }
      IncomingPeer peer =
          new IncomingPeer(
              context,
              channel,
              PeerTransport.this::onGreeted,
              PeerTransport.this::onEnded,
              PeerTransport.this::onForward);
      incoming.add(peer);
      closeOldestUngreeted();
      context.prepare(channel, true);
      channel.pipeline().addLast(peer);
    }
  }

  private synchronized void closeOldestUngreeted() {
    if (incoming.size() <= maxUngreeted) {
      return;
    }
    List<IncomingPeer> ungreeted = incoming.stream().filter(peer -> peer.node() == null).toList();
    if (ungreeted.size() > maxUngreeted) {
      context.counters.refused.increment();
      IncomingPeer oldest =
          Collections.min(ungreeted, Comparator.comparingLong(IncomingPeer::openedAt));
      incoming.remove(oldest);
      oldest.closeNormally();
    }
  }

  /** Opens a connection for a peer, whose channel from then on only carries its bytes. */
  private void onForward(IncomingPeer peer, Frame request) {
    incoming.remove(peer);
    Channel channel = peer.channel();
    channel.config().setAutoRead(false);
    channel.pipeline().remove(peer);
    forwarded.open(context, channel, request);
  }

  private void onGreeted(IncomingPeer peer) {
    String node = peer.node();
    if (node == null) {
      return;
    }
    IncomingPeer older = greetedPeers.put(node, peer);
    if (older != null && older != peer) {
      older.closeNormally();
    }
  }

  private void onEnded(IncomingPeer peer) {
    incoming.remove(peer);
    String node = peer.node();
    if (node != null) {
      greetedPeers.remove(node, peer);
    }
    peer.reportEnd();
  }

  private static EventLoopGroup newEventLoops() {
    return new MultiThreadIoEventLoopGroup(
        THREADS, new DefaultThreadFactory("peer", true), NioIoHandler.newFactory());
  }

  private void check() {
    long now = System.nanoTime();
    try {
      outgoing.values().forEach(peer -> peer.check(now));
      incoming.forEach(peer -> peer.check(now));
      forwarded.closeIdle(now);
    } catch (RuntimeException | Error e) {
      // An exception would cancel the periodic check, and silent connections would never be closed.
      Logger.error(e, "peer: the check of the connections failed");
    }
  }
}
