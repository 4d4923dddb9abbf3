package org.skylarkfork.runtime.node;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.command.GroupId;
import org.skylarkfork.core.configuration.ConfigurationChange;
import org.skylarkfork.core.effect.CallerEffect;
import org.skylarkfork.core.effect.Effect;
import org.skylarkfork.core.effect.UpstreamEffect;
import org.skylarkfork.core.event.LifecycleEvent;
import org.skylarkfork.core.event.OperatorEvent;
import org.skylarkfork.core.membership.Member;
import org.skylarkfork.core.membership.ServingState;
import org.skylarkfork.runtime.codec.Codec;
import org.skylarkfork.runtime.http.AdminServer;
import org.skylarkfork.runtime.http.CallerServer;
import org.skylarkfork.runtime.http.HttpSettings;
import org.skylarkfork.runtime.http.Sha256;
import org.skylarkfork.runtime.http.UpstreamClient;
import org.skylarkfork.runtime.limits.DescriptorBudget;
import org.skylarkfork.runtime.limits.JsonLimits;
import org.skylarkfork.runtime.loop.ContainedEffects;
import org.skylarkfork.runtime.loop.Journal;
import org.skylarkfork.runtime.loop.JournalFile;
import org.skylarkfork.runtime.loop.JournalStart;
import org.skylarkfork.runtime.loop.MonotonicClock;
import org.skylarkfork.runtime.loop.ReducerLoop;
import org.skylarkfork.runtime.settings.DaemonSettings;
import org.skylarkfork.runtime.storage.DiskStorage;
import org.skylarkfork.runtime.storage.FileDisk;
import org.skylarkfork.runtime.storage.Storage;
import org.skylarkfork.runtime.storage.StorageSettings;
import org.skylarkfork.runtime.trace.Metrics;
import org.skylarkfork.runtime.trace.TimelineWriter;
import org.skylarkfork.runtime.trace.TraceHandler;
import org.skylarkfork.runtime.transport.PeerFilter;
import org.skylarkfork.runtime.transport.PeerTransport;
import org.skylarkfork.runtime.transport.TlsFiles;
import org.skylarkfork.runtime.transport.TransportException;
import org.skylarkfork.runtime.transport.TransportSettings;
import org.tinylog.Logger;

/** One daemon: its parts, listeners, clients and storage. */
public final class DaemonNode implements AutoCloseable {

  private static final long POLL_MILLIS = 10;
  private static final long RELOAD_SECONDS = 30;

  private final DaemonSettings settings;
  private final MonotonicClock clock;
  private final Codec codec = new Codec();
  private final Metrics metrics = new Metrics();
  private final long incarnation;
  private final @Nullable TimelineWriter timeline;
  private final @Nullable JournalFile journal;
  private final long seed = UUID.randomUUID().getMostSignificantBits();
  private final ReducerLoop loop;
  private final PeerTransport peers;
  private final @Nullable Storage storage;
  private final UpstreamClient upstreams;
  private final CallerServer callers;
  private final NodeQueries queries;
  private final ScheduledExecutorService certificates =
      Executors.newSingleThreadScheduledExecutor(DaemonNode::certificateThread);
  private final CountDownLatch ended = new CountDownLatch(1);
  private @Nullable AdminServer admin;
  private @Nullable NodeParts parts;
  private @Nullable InetSocketAddress callerAddress;
  private @Nullable InetSocketAddress adminAddress;

  /**
   * Makes a daemon; {@link #start} opens it.
   *
   * @param settings its settings
   * @param clock the daemon's clock
   * @param filter may drop frames in silence, to try partitions out
   * @param onFailure told if an invariant breaks
   */
  public DaemonNode(
      DaemonSettings settings,
      MonotonicClock clock,
      PeerFilter filter,
      Consumer<Throwable> onFailure) {
    this.settings = settings;
    this.clock = clock;
    this.incarnation = clock.instant().toEpochMilli();
    this.timeline =
        settings.timelineFile() == null
            ? null
            : new TimelineWriter(settings.timelineFile(), codec, metrics);
    this.journal =
        settings.journalFile() == null ? null : new JournalFile(settings.journalFile(), codec);
    this.loop =
        new ReducerLoop(
            clock,
            new ContainedEffects(router(), this::onFailedEffect, metrics),
            journal == null ? Journal.NONE : journal,
            onFailure);
    this.queries = new NodeQueries(loop);
    this.peers = new PeerTransport(transportSettings(), codec, loop::submit, filter);
    this.storage = openStorage();
    ObjectMapper json = new ObjectMapper(JsonLimits.factory());
    this.upstreams = new UpstreamClient(json, settings.ratingService(), loop::submit);
    this.callers =
        new CallerServer(
            HttpSettings.usual(settings.host(), settings.callerPort()),
            loop,
            queries,
            clock,
            new RequestIds(settings.node(), incarnation),
            json);
  }

  private static Thread certificateThread(Runnable task) {
    Thread thread = new Thread(task, "certificates");
    thread.setDaemon(true);
    return thread;
  }

  private EffectRouter router() {
    TraceHandler traces = new TraceHandler(settings.node(), metrics, timeline);
    return new EffectRouter(
        effect -> callers.execute(effect),
        effect -> upstreams.execute(effect),
        effect -> adminServer().execute(effect),
        effect -> peers.execute(effect),
        effect -> storage().execute(effect),
        traces::execute,
        effect -> ended.countDown());
  }

  private void onFailedEffect(Effect effect, Throwable failure) {
    if (effect instanceof UpstreamEffect upstream) {
      upstreams.onFailed(upstream, failure);
    } else if (effect instanceof CallerEffect caller) {
      callers.onFailed(caller);
    }
  }

  private TransportSettings transportSettings() {
    DaemonSettings.Tls tls = settings.tls();
    return new TransportSettings(
        settings.node(),
        settings.cluster(),
        incarnation,
        settings.host(),
        settings.peerPort(),
        TransportSettings.Limits.DEFAULT,
        tls == null ? null : new TlsFiles(tls.certificate(), tls.key(), tls.trusted()));
  }

  private @Nullable Storage openStorage() {
    Path folder = settings.dataFolder();
    if (folder == null) {
      return null;
    }
    return new DiskStorage(
        new StorageSettings(
            folder, StorageSettings.DEFAULT_SEGMENT_BYTES, UUID.randomUUID().toString()),
        codec,
        new FileDisk(),
        loop::submit);
  }

  private Storage storage() {
    if (storage == null) {
      throw new IllegalStateException("only a daemon with a data folder hosts replicas");
    }
    return storage;
  }

  private AdminServer adminServer() {
    if (admin == null) {
      throw new IllegalStateException("start the daemon first");
    }
    return admin;
  }

  private NodeParts parts() {
    if (parts == null) {
      throw new IllegalStateException("start the daemon first");
    }
    return parts;
  }

  /** Opens the listeners, recovers what is stored and starts to work. */
  public void start() {
    peers.limitUngreeted(DescriptorBudget.ofProcess(DescriptorBudget.UNKNOWN).ungreetedPeers());
    peers.start();
    callerAddress = callers.start();
    admin =
        new AdminServer(
            HttpSettings.usual(settings.host(), settings.adminPort()),
            loop,
            new NodeViews(loop, this::parts, settings, new NodeGauges(metrics), peers::counts),
            queries,
            metrics,
            clock,
            new RequestIds("call-" + settings.node(), incarnation),
            new ObjectMapper(JsonLimits.factory()),
            codec);
    adminAddress = admin.start();
    NodeParts made = new NodeParts(settings, self(), codec, seed);
    parts = made;
    queries.attach(made.configuration(), made.entries(), made.directory()::announceInterval);
    if (journal != null) {
      journal.begin(new JournalStart(seed, self()));
    }
    for (GroupId group : made.hostedGroups()) {
      storage().recover(group);
    }
    loop.start(made.reducer());
    loop.submit(new LifecycleEvent.Started());
    if (settings.tls() != null) {
      certificates.scheduleAtFixedRate(
          this::reloadCertificates, RELOAD_SECONDS, RELOAD_SECONDS, TimeUnit.SECONDS);
    }
    Logger.info("node: {} serves callers at {}.", settings.node(), callerAddress);
  }

  private void reloadCertificates() {
    try {
      if (peers.reload()) {
        Logger.info("peer: New certificates are in use.");
      }
    } catch (TransportException unusable) {
      Logger.warn("peer: New certificates can't be used: {}.", unusable.getMessage());
    } catch (RuntimeException | Error failure) {
      // An exception would cancel all further reloads.
      Logger.error(failure, "peer: The reload of certificates failed.");
    }
  }

  private Member self() {
    List<String> roles =
        settings.isVoter() ? List.of(Member.ENTRY, Member.CONTROL) : List.of(Member.ENTRY);
    return new Member(
        settings.node(),
        settings.host(),
        peers.port(),
        callerAddress().getPort(),
        adminAddress().getPort(),
        settings.zone(),
        settings.region(),
        roles,
        1,
        incarnation,
        0,
        ServingState.NOT_SERVING);
  }

  /** Returns the address for callers; only after the start. */
  public InetSocketAddress callerAddress() {
    if (callerAddress == null) {
      throw new IllegalStateException("start the daemon first");
    }
    return callerAddress;
  }

  /** Returns the address for operators; only after the start. */
  public InetSocketAddress adminAddress() {
    if (adminAddress == null) {
      throw new IllegalStateException("start the daemon first");
    }
    return adminAddress;
  }

  /** Returns the port for other daemons; only after the start. */
  public int peerPort() {
    return peers.port();
  }

  /** Returns whether this daemon takes new work. */
  public CompletableFuture<Boolean> ready() {
    return queries.readiness().thenApply(readiness -> readiness.ready());
  }

  /** Returns whether this daemon leads the configuration group. */
  public CompletableFuture<Boolean> leads() {
    return loop.ask(now -> parts().consensus().holdsLease(GroupId.CONFIGURATION, now));
  }

  /** Returns how many upstreams this daemon knows. */
  public CompletableFuture<Integer> knownUpstreams() {
    return loop.ask(now -> parts().directory().all().size());
  }

  /**
   * Submits a change of the configuration with the bootstrap key; its fate is asked for over HTTP.
   *
   * @param operatorKey key of an operator
   * @param changeId id of the change
   * @param change the change
   */
  public void change(String operatorKey, String changeId, ConfigurationChange change) {
    loop.submit(
        new OperatorEvent.ChangeRequested(
            changeId, Sha256.hex(operatorKey), changeId, null, change));
  }

  /**
   * Waits until something holds.
   *
   * @param condition what is waited for
   * @param limit how long to wait at most
   * @return whether it held in time
   */
  public boolean await(CompletableCondition condition, Duration limit) throws InterruptedException {
    Instant until = clock.instant().plus(limit);
    while (!condition.holds().join()) {
      if (clock.instant().isAfter(until)) {
        return false;
      }
      TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
    }
    return true;
  }

  /** A condition on the daemon's state. */
  public interface CompletableCondition {

    /** Asks whether it holds now. */
    CompletableFuture<Boolean> holds();
  }

  /**
   * Stops gracefully: leaves the entry list, serves until the last list with this entry has run
   * out, finishes what runs, and closes.
   *
   * @param limit longest time for all of it
   * @return whether every request was finished in time
   */
  public boolean stop(Duration limit) throws InterruptedException {
    Logger.info("node: {} stops gracefully.", settings.node());
    loop.submit(new LifecycleEvent.StopRequested());
    boolean whole = ended.await(limit.toMillis(), TimeUnit.MILLISECONDS);
    close();
    return whole;
  }

  /** Closes the daemon at once. */
  @Override
  public void close() {
    certificates.shutdownNow();
    callers.close();
    if (admin != null) {
      admin.close();
    }
    upstreams.close();
    loop.close();
    peers.close();
    if (journal != null) {
      journal.close();
    }
    if (storage != null) {
      storage.close();
    }
    if (timeline != null) {
      timeline.close();
    }
  }
}
