package org.skylarkfork.runtime.relay;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.effect.RelayEffect;
import org.skylarkfork.core.event.RelayEvent;
import org.skylarkfork.core.reachability.ConnectOutcome;
import org.skylarkfork.core.relay.RelayLimits;
import org.skylarkfork.core.relay.RelayRequest;
import org.skylarkfork.core.relay.UpstreamInstance;
import org.skylarkfork.runtime.limits.AnswerBuffers;
import org.skylarkfork.runtime.limits.ConnectionLimit;
import org.skylarkfork.runtime.limits.MemoryBudget;
import org.skylarkfork.runtime.limits.RequestBuffers;
import org.skylarkfork.runtime.loop.EventLoopReducer;
import org.skylarkfork.runtime.startup.BindRetry;
import org.skylarkfork.runtime.startup.ListenerHandover;
import org.tinylog.Logger;

/**
 * Serves callers at an entry: owns the listener, the connections and the active requests. Confined
 * to the event loop's thread.
 */
final class RelayCallerServer {

  /** Maximum number of callers' connections that wait to be accepted. */
  static final int BACKLOG = 1024;

  private static final long SWEEP_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** Time between two checks for stalled streams, a fifth of the shortest stall to detect. */
  private static final long STALL_CHECK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

  private final EventLoop eventLoop;
  private final RelayDialect dialect;
  private final EventLoopReducer loop;
  private final Supplier<List<String>> forwarders;
  private final Supplier<RelayLimits> limits;
  private final UpstreamPools pools;
  private final AnswerMemory answerMemory;
  private final RequestBuffers requestBuffers;
  private final RequestBuffers requestHeads;
  private final Map<Long, RelayExchange> exchanges = new HashMap<>();
  private final ConnectionLimit<CallerConnection> connections;
  private @Nullable Channel listener;
  private long lastRequestNumber;
  private int probes;
  private long lastStallCheckAt = System.nanoTime();
  private long lastSweepAt = System.nanoTime();
  private @Nullable RelayLimits replacedLimits;
  private boolean stopping;

  RelayCallerServer(
      EventLoop eventLoop,
      RelayDialect dialect,
      EventLoopReducer loop,
      UpstreamConnector ownLinks,
      ForwardingConnector forwarding,
      Supplier<List<String>> forwarders,
      Supplier<RelayLimits> limits,
      int maxConnections) {
    this.eventLoop = eventLoop;
    this.dialect = dialect;
    this.loop = loop;
    this.limits = limits;
    this.forwarders = forwarders;
    MemoryBudget memory = MemoryBudget.ofProcess();
    this.requestBuffers = memory.bodies();
    this.requestHeads = memory.heads();
    this.answerMemory = AnswerMemory.of(memory);
    this.connections = new ConnectionLimit<>(maxConnections);
    this.pools =
        new UpstreamPools(eventLoop, dialect, ownLinks, forwarding, CONNECT_TIMEOUT, loop::submit);
  }

  /**
   * Starts to accept connections.
   *
   * @param address address to listen on
   * @param open listener that is open at this address, or null to open one
   * @return the address of the listener
   */
  InetSocketAddress start(InetSocketAddress address, @Nullable ServerSocketChannel open) {
    ServerBootstrap server =
        new ServerBootstrap()
            .group(eventLoop)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    addHandlers(channel);
                  }
                });
    Channel bound =
        ListenerHandover.listen(server, address, open, BindRetry.MAX_WAIT)
            .syncUninterruptibly()
            .getNow();
    listener = bound;
    return (InetSocketAddress) bound.localAddress();
  }

  private void addHandlers(Channel channel) {
    CallerConnection connection = new CallerConnection(this);
    channel
        .pipeline()
        .addLast(
            new HttpResponseEncoder(),
            new CallerRequestDecoder(
                HttpDecoderLimits.requestConfig(limits().maxHeaderBytes()), connection),
            connection);
  }

  /**
   * Runs the periodic tasks: checks for stalled streams and closes idle connections.
   *
   * @param now current time of the process's monotonic clock, in nanoseconds
   */
  void tick(long now) {
    if (now - lastStallCheckAt >= STALL_CHECK_INTERVAL_NANOS) {
      lastStallCheckAt = now;
      checkForStalls(now);
    }
    if (now - lastSweepAt >= SWEEP_INTERVAL_NANOS) {
      lastSweepAt = now;
      closeUnused();
    }
  }

  private void checkForStalls(long now) {
    for (RelayExchange exchange : new ArrayList<>(exchanges.values())) {
      exchange.checkForStall(now);
    }
  }

  private void closeUnused() {
    closeIdle(Duration.ofMillis(limits().idleTimeoutMillis()));
    long now = System.nanoTime();
    for (CallerConnection connection : connections.connections()) {
      connection.refuseIfOverdue(limits(), now);
    }
    pools.removeUnused();
  }

  /** Returns the limits in force, with a line in the log for those that can't be applied. */
  private RelayLimits limits() {
    RelayLimits configured = limits.get();
    if (!configured.isUsable() && !configured.equals(replacedLimits)) {
      replacedLimits = configured;
      Logger.warn("node: limits that aren't above 0 are replaced by defaults: {}", configured);
    }
    return configured.orDefaults();
  }

  int maxBodyBytes() {
    return limits().maxBodyBytes();
  }

  /** Returns the limits on the buffers of answers. */
  AnswerBuffers answerBuffers() {
    return answerMemory.bodies();
  }

  /** Returns the time after which an idle connection is closed, in nanoseconds. */
  long idleNanos() {
    return TimeUnit.MILLISECONDS.toNanos(limits().idleTimeoutMillis());
  }

  /** Returns the limits on the bodies of requests. */
  RequestBuffers requestBuffers() {
    return requestBuffers;
  }

  /** Returns the limits on the heads of requests. */
  RequestBuffers requestHeads() {
    return requestHeads;
  }

  /** Returns the name of the header that carries a request's id. */
  String requestIdHeader() {
    return dialect.requestIdHeader();
  }

  boolean stopping() {
    return stopping;
  }

  /**
   * Closes each connection after its next answer, which announces this by {@code Connection:
   * close}.
   */
  void disableKeepAlive() {
    stopping = true;
  }

  /** Stops accepting connections. */
  void stopListening() {
    if (listener != null) {
      listener.close();
    }
  }

  /** Closes the connections that have been idle for longer than the given time. */
  void closeIdle(Duration idleTime) {
    long now = System.nanoTime();
    for (CallerConnection connection : connections.connections()) {
      connection.closeIfIdle(idleTime.toNanos(), now);
    }
  }

  int openConnections() {
    return connections.count();
  }

  int activeRequests() {
    return exchanges.size();
  }

  void onOpened(CallerConnection connection) {
    connections.onOpened(connection);
  }

  void onClosed(CallerConnection connection) {
    connections.onClosed(connection);
  }

  /** Starts a request that was received completely; returns null if its head was rejected. */
  @Nullable RelayExchange startRequest(HttpRequest head, ByteBuf body, CallerConnection caller) {
    long number = ++lastRequestNumber;
    RelayRequest request;
    try {
      request =
          dialect
              .read(number, head, ContentHash.of(head, body))
              .withBodyBytes(body.readableBytes());
    } catch (MalformedHeaderException malformed) {
      body.release();
      caller.rejectReceived(HttpResponseStatus.BAD_REQUEST);
      return null;
    }
    RelayExchange exchange =
        new RelayExchange(number, head, body, caller, dialect, pools, answerMemory, loop);
    exchanges.put(number, exchange);
    eventLoop.execute(() -> submitArrival(request, exchange));
    return exchange;
  }

  /**
   * Submits a request to the reducer, unless its caller has left meanwhile.
   *
   * <p>A pipelined request may be followed by the close of its connection in the same round of the
   * event loop. The reducer ignores a caller that leaves before its request arrives, and would then
   * send a request whose body has been released.
   */
  private void submitArrival(RelayRequest request, RelayExchange exchange) {
    if (exchange.isCompleted()) {
      exchanges.remove(request.number());
    } else {
      loop.submit(new RelayEvent.RequestArrived(request));
    }
  }

  /** Executes an effect on the request or upstream that it names; ignores unknown requests. */
  void execute(RelayEffect effect) {
    if (effect instanceof RelayEffect.SendAttempt send) {
      withExchange(
          send.request(), exchange -> exchange.startAttempt(send.attempt(), send.target()));
    } else if (effect instanceof RelayEffect.PassAnswer pass) {
      withExchange(pass.request(), RelayExchange::forwardAnswer);
    } else if (effect instanceof RelayEffect.DropAttempt drop) {
      withExchange(drop.request(), RelayExchange::abandonAttempt);
    } else if (effect instanceof RelayEffect.ProbeUpstream probe) {
      probe(probe.upstream());
    } else if (effect instanceof RelayEffect.ProbePath probe) {
      pools.pool(probe.upstream(), probe.forwarder()).probe(isReachable -> {});
    } else if (effect instanceof RelayEffect.RecallUnsent recall) {
      pools.recallUnsent(recall.upstream());
    } else if (effect instanceof RelayEffect.Refuse refuse) {
      withExchange(
          refuse.request(),
          exchange -> exchange.refuse(refuse.refusal(), refuse.retryAfterMillis()));
      exchanges.remove(refuse.request());
    } else if (effect instanceof RelayEffect.BreakOff broken) {
      withExchange(broken.request(), RelayExchange::abort);
      exchanges.remove(broken.request());
    } else if (effect instanceof RelayEffect.Forget forget) {
      exchanges.remove(forget.request());
    }
  }

  /**
   * Gives an effect that has failed its outcome: a failed attempt or probe, or an answer that the
   * caller knows to be incomplete.
   */
  void onFailed(RelayEffect effect) {
    if (effect instanceof RelayEffect.SendAttempt send) {
      withExchange(send.request(), exchange -> exchange.failAttempt(send.attempt()));
    } else if (effect instanceof RelayEffect.PassAnswer pass) {
      withExchange(pass.request(), RelayExchange::abortAsDisconnected);
    } else if (effect instanceof RelayEffect.Refuse refuse) {
      endFailed(refuse.request());
    } else if (effect instanceof RelayEffect.BreakOff broken) {
      endFailed(broken.request());
    } else if (effect instanceof RelayEffect.ProbeUpstream probe) {
      reportProbed(probe.upstream(), false);
    } else if (effect instanceof RelayEffect.ProbePath probe) {
      loop.submit(
          new RelayEvent.UpstreamConnected(
              probe.upstream(), probe.forwarder(), ConnectOutcome.UPSTREAM_UNREACHABLE));
    }
  }

  private void endFailed(long number) {
    RelayExchange exchange = exchanges.remove(number);
    if (exchange != null) {
      exchange.abort();
    }
  }

  private void probe(UpstreamInstance upstream) {
    pools
        .pool(upstream, null)
        .probe(
            isReachable -> {
              if (isReachable) {
                reportProbed(upstream, true);
              } else {
                probeThroughAnother(upstream);
              }
            });
  }

  /** Probes through another entry, since this one's own links may be cut. */
  private void probeThroughAnother(UpstreamInstance upstream) {
    List<String> others = forwarders.get();
    if (others.isEmpty()) {
      reportProbed(upstream, false);
      return;
    }
    String forwarder = others.get(probes++ % others.size());
    pools.pool(upstream, forwarder).probe(isReachable -> reportProbed(upstream, isReachable));
  }

  private void reportProbed(UpstreamInstance upstream, boolean isReachable) {
    loop.submit(new RelayEvent.UpstreamProbed(upstream.run(), isReachable));
  }

  private void withExchange(long number, Consumer<RelayExchange> action) {
    RelayExchange exchange = exchanges.get(number);
    if (exchange != null) {
      action.accept(exchange);
    }
  }
}
