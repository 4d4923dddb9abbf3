package org.skylarkfork.runtime.relay;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.Part;
import org.skylarkfork.core.Reducer;
import org.skylarkfork.core.command.GroupId;
import org.skylarkfork.core.consensus.ConsensusPart;
import org.skylarkfork.core.consensus.GroupSetup;
import org.skylarkfork.core.consensus.MembershipChangePolicy;
import org.skylarkfork.core.effect.Effect;
import org.skylarkfork.core.effect.PeerEffect;
import org.skylarkfork.core.effect.RelayEffect;
import org.skylarkfork.core.effect.StorageEffect;
import org.skylarkfork.core.effect.TraceEffect;
import org.skylarkfork.core.event.Event;
import org.skylarkfork.core.event.LifecycleEvent;
import org.skylarkfork.core.event.PeerEvent;
import org.skylarkfork.core.event.RelayEvent;
import org.skylarkfork.core.event.StorageEvent;
import org.skylarkfork.core.fairshare.FairShares;
import org.skylarkfork.core.reachability.ConnectOutcome;
import org.skylarkfork.core.relay.CallServiceDirectory;
import org.skylarkfork.core.relay.EntryIdentity;
import org.skylarkfork.core.relay.ForwardDecision;
import org.skylarkfork.core.relay.LoadExchangePart;
import org.skylarkfork.core.relay.RelayControlPart;
import org.skylarkfork.core.relay.RelayEntryPart;
import org.skylarkfork.core.relay.RelayMachine;
import org.skylarkfork.core.relay.RelayRequestPart;
import org.skylarkfork.core.relay.RelayRequestSettings;
import org.skylarkfork.core.relay.RelayTimings;
import org.skylarkfork.core.relay.SchedulerPart;
import org.skylarkfork.core.relay.UpstreamInstance;
import org.skylarkfork.core.relay.VersionStatistics;
import org.skylarkfork.core.rollout.RollOutSettings;
import org.skylarkfork.core.routing.StableHash;
import org.skylarkfork.core.waiting.SlotSchedulerPart;
import org.skylarkfork.core.waiting.SpacedRetryTimes;
import org.skylarkfork.runtime.codec.BinaryCodec;
import org.skylarkfork.runtime.limits.DescriptorBudget;
import org.skylarkfork.runtime.loop.ContainedEffects;
import org.skylarkfork.runtime.loop.EventLoopReducer;
import org.skylarkfork.runtime.node.WireCodec;
import org.skylarkfork.runtime.startup.EarlyListeners;
import org.skylarkfork.runtime.storage.DiskStorage;
import org.skylarkfork.runtime.storage.FileDisk;
import org.skylarkfork.runtime.storage.StorageException;
import org.skylarkfork.runtime.storage.StorageSettings;
import org.skylarkfork.runtime.trace.BoundedLog;
import org.skylarkfork.runtime.trace.Metrics;
import org.skylarkfork.runtime.trace.TraceHandler;
import org.skylarkfork.runtime.transport.PeerTransport;
import org.skylarkfork.runtime.transport.TransportSettings;
import org.tinylog.Logger;

/** A daemon of the relay, which is an entry, a control VM, or both. */
public final class RelayNode {

  /** Without a quiet period the event loop may end before it has closed its connections. */
  private static final long CLOSE_QUIET_MILLIS = 50;

  private static final long CLOSE_TIMEOUT_MILLIS = 1_000;

  private static final String CLUSTER = "relay";
  private static final long SEGMENT_BYTES = 4 * 1024 * 1024;

  private final RelaySettings settings;
  private final EarlyListeners earlyListeners;
  private final UpstreamConnector upstreamConnector;
  private final RelayDialect dialect;
  private final ControlDialect controlDialect;
  private final BinaryCodec codec = RelayCodec.create();
  private final Metrics metrics = new Metrics();
  private final TraceHandler traces;
  private final BoundedLog log;
  private final EventLoop eventLoop =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
  private final EventLoopReducer loop;
  private final PeerTransport transport;
  private final RelayStatus status;
  private final AddressedPeers peers;
  private final @Nullable DiskStorage storage;
  private final long incarnation;
  private final Consumer<Throwable> onFailure;
  private final long seed;
  private final DescriptorBudget descriptors;
  private final RelayEndpoints endpoints = new RelayEndpoints(eventLoop);
  private @Nullable RelayEntryPart entry;
  private volatile @Nullable RelayCallerServer callerServer;
  private @Nullable PendingControlCalls controlCalls;
  private @Nullable InetSocketAddress callerAddress;
  private final CompletableFuture<InetSocketAddress> controlAddress = new CompletableFuture<>();
  private final CompletableFuture<InetSocketAddress> metricsAddress = new CompletableFuture<>();
  private volatile boolean stopping;
  private volatile boolean started;
  private volatile boolean closed;

  /** Creates a daemon without early listeners. */
  public RelayNode(
      RelaySettings settings,
      InstantSource clock,
      RelayDialect dialect,
      ControlDialect controlDialect,
      Consumer<Throwable> onFailure) {
    this(settings, new EarlyListeners(), clock, dialect, controlDialect, onFailure);
  }

  /**
   * Creates a daemon; {@link #start} opens its listeners.
   *
   * @param settings settings of the daemon
   * @param earlyListeners listeners that are open; the daemon uses those of its addresses, and
   *     closes the others with itself
   * @param clock clock of the daemon, which is monotonic and includes the time that the VM is
   *     suspended
   * @param dialect mapping of the headers of requests and answers
   * @param controlDialect protocol of calls to control VMs
   * @param onFailure receives the failure if an invariant is violated
   */
  public RelayNode(
      RelaySettings settings,
      EarlyListeners earlyListeners,
      InstantSource clock,
      RelayDialect dialect,
      ControlDialect controlDialect,
      Consumer<Throwable> onFailure) {
    this(settings, earlyListeners, clock, Bootstrap::connect, dialect, controlDialect, onFailure);
  }

  /** Creates a daemon that connects to upstreams by the given connector. */
  RelayNode(
      RelaySettings settings,
      EarlyListeners earlyListeners,
      InstantSource clock,
      UpstreamConnector upstreamConnector,
      RelayDialect dialect,
      ControlDialect controlDialect,
      Consumer<Throwable> onFailure) {
    this.settings = settings;
    this.descriptors = DescriptorBudget.ofProcess(settings.maxDescriptors());
    this.upstreamConnector = upstreamConnector;
    this.earlyListeners = earlyListeners;
    this.onFailure = onFailure;
    this.dialect = dialect;
    this.controlDialect = controlDialect;
    this.incarnation = clock.instant().toEpochMilli();
    // Needs to differ only between daemons and their restarts; loading the system's secure
    // generator takes 20 ms.
    this.seed =
        StableHash.of(
            settings.name(), Long.toString(incarnation), Long.toString(System.nanoTime()));
    this.traces = new TraceHandler(settings.name(), metrics, null);
    this.log = new BoundedLog(settings.name());
    this.loop =
        new EventLoopReducer(
            clock,
            eventLoop,
            new ContainedEffects(this::execute, this::onFailedEffect, metrics),
            onFailure);
    this.transport = new PeerTransport(transportSettings(), codec, loop::submit, eventLoop);
    this.status = new RelayStatus(metrics, transport, loop::now);
    this.peers = new AddressedPeers(transport);
    eventLoop.terminationFuture().addListener(done -> onEventLoopEnded());
    this.storage = openStorage(settings.dataFolder());
    if (storage != null) {
      status.showStorage(storage);
    }
  }

  private TransportSettings transportSettings() {
    return new TransportSettings(
        settings.peerName(),
        CLUSTER,
        incarnation,
        settings.peer().getAddress().getHostAddress(),
        settings.peer().getPort(),
        RelayPeerLimits.LIMITS,
        null);
  }

  private @Nullable DiskStorage openStorage(@Nullable Path folder) {
    if (folder == null) {
      return null;
    }
    return new DiskStorage(
        new StorageSettings(folder, SEGMENT_BYTES, Long.toHexString(seed)),
        codec,
        new FileDisk(),
        this::onStorageEvent);
  }

  /**
   * A control VM that can't continue its stored data is of no use; the next start sets the data
   * aside and joins its group again.
   */
  private void onStorageEvent(Event event) {
    loop.submit(event);
    if (event instanceof StorageEvent.Failed failed) {
      onFailure.accept(
          new StorageException(
              StorageException.Kind.CORRUPT, failed.group() + ": " + failed.detail(), null));
    }
  }

  private void onEventLoopEnded() {
    if (!closed) {
      onFailure.accept(new IllegalStateException("the event loop has ended"));
    }
  }

  /** Opens the listeners, recovers the stored state and starts the event loop. */
  public void start() {
    final int early = earlyListeners.count();
    transport.forwardTo(
        new UpstreamForwarding(
            eventLoop, upstreamConnector, this::decideForward, this::onForwarded));
    transport.limitUngreeted(descriptors.ungreetedPeers());
    transport.start(earlyListeners.take(settings.peer()));
    List<Part> parts = new ArrayList<>();
    if (settings.dataFolder() != null) {
      addControl(parts);
    }
    if (settings.caller() != null) {
      addEntry(parts, settings.caller());
    }
    openMetrics();
    loop.start(new Reducer(parts), timings().tickInterval(), this::afterTick);
    if (storage != null) {
      storage.recover(GroupId.RELAY);
    }
    loop.submit(new LifecycleEvent.Started());
    started = true;
    Logger.info(
        "node: started name={} peer={} zone={} voters={} mayFound={} earlyListeners={}"
            + " maxSockets={}",
        settings.name(),
        settings.peerName(),
        settings.zone(),
        settings.voters(),
        settings.mayFound(),
        early,
        descriptors.sockets());
  }

  private void addControl(List<Part> parts) {
    RelayMachine machine = new RelayMachine();
    MembershipChangePolicy membershipPolicy =
        new MembershipChangePolicy(
            settings.mayFound(), settings.voters(), RelayPeerLimits.VOTER_REPLACEMENT_TIMEOUT);
    ConsensusPart consensus =
        new ConsensusPart(
            settings.peerName(),
            List.of(new GroupSetup(GroupId.RELAY, settings.seeds(), membershipPolicy, machine)),
            RelayPeerLimits.raft(),
            new WireCodec(codec),
            seed);
    RelayControlPart control =
        new RelayControlPart(
            settings.peerName(),
            machine,
            consensus,
            timings(),
            RollOutSettings.DEFAULT,
            settings.overload());
    PendingControlCalls pendingCalls = new PendingControlCalls(loop, control, settings.zones());
    controlCalls = pendingCalls;
    parts.add(consensus);
    parts.add(control);
  }

  /**
   * Opens the listeners for calls to control VMs asynchronously, since the event loop calls it and
   * must not block.
   */
  private void openControlListeners(PendingControlCalls pendingCalls) {
    for (InetSocketAddress address : Arrays.asList(settings.control(), settings.lists())) {
      if (address != null) {
        boolean lookUps = address.equals(settings.lists());
        endpoints.openForControl(
            address,
            lookUps ? descriptors.lookUps() : descriptors.mainListener(mainListeners()),
            call -> controlDialect.answer(call, pendingCalls),
            bound -> onControlListenerBound(address, bound),
            onFailure);
      }
    }
  }

  private void onControlListenerBound(InetSocketAddress address, InetSocketAddress bound) {
    if (address.equals(settings.control())) {
      Logger.info("node: listens for control calls at {}", bound);
      controlAddress.complete(bound);
    }
  }

  private RelayTimings timings() {
    RelayTimings relayTimings = RelayTimings.of(settings.keyBound(), settings.heartbeat());
    return settings.dataFolder() == null ? relayTimings.forEntry() : relayTimings;
  }

  private void afterTick() {
    long now = System.nanoTime();
    RelayCallerServer server = callerServer;
    if (server != null) {
      server.tick(now);
    }
    endpoints.tick(now);
  }

  /** Returns how many listeners have many clients: those of callers and of control calls. */
  private int mainListeners() {
    return settings.caller() == null || settings.dataFolder() == null ? 1 : 2;
  }

  private void addEntry(List<Part> parts, InetSocketAddress caller) {
    VersionStatistics statistics = new VersionStatistics();
    EntryIdentity identity =
        new EntryIdentity(
            caller.getAddress().getHostAddress() + ":" + caller.getPort(),
            settings.zone(),
            incarnation,
            settings.capacity());
    RelayEntryPart entryPart =
        new RelayEntryPart(identity, settings.seeds(), timings(), statistics);
    entry = entryPart;
    parts.add(entryPart);
    RelayRequestPart requests =
        new RelayRequestPart(
            entryPart,
            new RelayRequestSettings(
                settings.zone(),
                settings.retryRatio(),
                RollOutSettings.DEFAULT.canaryShare(),
                settings.grace(),
                settings.overload()),
            statistics,
            seed);
    parts.add(requests);
    parts.add(new LoadExchangePart(entryPart, requests));
    FairShares shares = new FairShares(settings.overload().fairShares());
    parts.add(new SchedulerPart(entryPart, settings.peerName(), shares, seed));
    SlotSchedulerPart slotScheduler =
        new SlotSchedulerPart(new CallServiceDirectory(entryPart), SpacedRetryTimes::new);
    parts.add(slotScheduler);
    RelayCallerServer started =
        new RelayCallerServer(
            eventLoop,
            dialect,
            loop,
            upstreamConnector,
            new ForwardingConnector(transport),
            entryPart::forwarders,
            () -> entryPart.table().configuration().limits(),
            descriptors.mainListener(mainListeners()));
    callerServer = started;
    status.showEntry(entryPart, new EntryGauges(entryPart, requests, slotScheduler, started));
    callerAddress = started.start(caller, earlyListeners.take(caller));
    endpoints.openForChecks(
        settings.ready(), descriptors.checks(), call -> readiness(entryPart), bound -> {});
    InetSocketAddress lists = settings.lists();
    if (lists != null && settings.dataFolder() == null) {
      EntryDirectory directory = entryPart::callerAddresses;
      endpoints.openForLookUps(
          lists,
          earlyListeners.take(lists),
          descriptors.lookUps(),
          call -> controlDialect.lookUpEntries(call, directory));
    }
  }

  private ForwardDecision decideForward(String address) {
    RelayEntryPart entryPart = entry;
    return entryPart == null
        ? ForwardDecision.UNUSABLE
        : entryPart.decideForward(address, loop.now());
  }

  /** Reports a connection for another entry, which tells about this entry's own links as well. */
  private void onForwarded(String address, ConnectOutcome outcome) {
    RelayEntryPart entryPart = entry;
    UpstreamInstance upstream = entryPart == null ? null : entryPart.instanceAt(address);
    if (upstream != null) {
      loop.submit(new RelayEvent.UpstreamConnected(upstream, null, outcome));
    }
  }

  private HttpReply readiness(RelayEntryPart entryPart) {
    boolean ready = !stopping && entryPart.ready(loop.now());
    return text(ready ? 200 : 503, ready ? "ready" : "not ready");
  }

  private static HttpReply text(int status, String text) {
    return new HttpReply(status, "text/plain", text.getBytes(StandardCharsets.UTF_8));
  }

  private void openMetrics() {
    endpoints.openForChecks(
        settings.metrics(), descriptors.checks(), status::answer, metricsAddress::complete);
  }

  private void execute(Effect effect) {
    if (effect instanceof RelayEffect.TakeCalls) {
      if (controlCalls != null) {
        openControlListeners(controlCalls);
      }
    } else if (effect instanceof RelayEffect.ReplyToCall reply) {
      if (controlCalls != null) {
        controlCalls.reply(reply);
      }
    } else if (effect instanceof RelayEffect relay) {
      if (callerServer != null) {
        callerServer.execute(relay);
      }
    } else if (effect instanceof PeerEffect.SendToPeer own
        && own.node().equals(settings.peerName())) {
      loop.submit(new PeerEvent.MessageReceived(own.node(), own.message()));
    } else if (effect instanceof PeerEffect peer) {
      peers.execute(peer);
    } else if (effect instanceof StorageEffect write) {
      if (storage != null) {
        storage.execute(write);
      }
    } else if (effect instanceof TraceEffect.LogLine line) {
      log.add(line, loop.now().toEpochMilli());
    } else if (effect instanceof TraceEffect trace) {
      traces.execute(trace);
    }
  }

  private void onFailedEffect(Effect effect, Throwable failure) {
    if (effect instanceof RelayEffect relay && callerServer != null) {
      callerServer.onFailed(relay);
    }
  }

  /** Returns the address for callers, or null if the daemon isn't an entry or isn't started. */
  public @Nullable InetSocketAddress callerAddress() {
    return callerAddress;
  }

  /**
   * Returns the address that serves metrics. The future completes when the listener is bound, and
   * never completes on a daemon without such a listener.
   */
  public CompletableFuture<InetSocketAddress> metricsAddress() {
    return metricsAddress;
  }

  /**
   * Returns the address for operators' calls. The future completes when the listener is bound,
   * after this control VM first knows a leader, and never completes on a daemon that isn't a
   * control VM.
   */
  public CompletableFuture<InetSocketAddress> controlAddress() {
    return controlAddress;
  }

  /** Closes all connections and the storage immediately, without a graceful shutdown. */
  public void close() {
    closed = true;
    earlyListeners.close();
    loop.stop();
    transport.close();
    eventLoop
        .shutdownGracefully(CLOSE_QUIET_MILLIS, CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
        .syncUninterruptibly();
    if (storage != null) {
      storage.close();
    }
  }

  /**
   * Applies changed settings, which are the control VMs to contact.
   *
   * @param seeds peer names of control VMs
   */
  public void reload(List<String> seeds) {
    Logger.info("node: reloaded seeds={}", seeds);
    loop.submit(new RelayEvent.SeedsChanged(seeds));
  }

  /**
   * Shuts the daemon down gracefully within the grace time.
   *
   * <p>Callers first receive lists that name other entries, and keep using this entry until their
   * lists have expired; requests that arrive until then are served. A daemon that isn't started yet
   * ends as soon as the requests that it has read are answered.
   */
  public void stop() throws InterruptedException {
    final RelayShutdown shutdown = new RelayShutdown(eventLoop, settings.grace());
    Logger.info("node: shutting down name={}", settings.name());
    stopping = true;
    endpoints.stop();
    earlyListeners.close();
    loop.submit(new LifecycleEvent.StopRequested());
    if (started) {
      shutdown.await(callerServer);
    } else {
      shutdown.awaitRequests(callerServer);
    }
    Logger.info("node: stopped name={}", settings.name());
  }
}
