package org.skylarkfork.runtime.node;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.Reducer;
import org.skylarkfork.core.admission.OpenAdmission;
import org.skylarkfork.core.attempt.RequestCollaborators;
import org.skylarkfork.core.attempt.RequestPart;
import org.skylarkfork.core.attempt.RequestSettings;
import org.skylarkfork.core.configuration.Configuration;
import org.skylarkfork.core.event.LifecycleEvent;
import org.skylarkfork.core.membership.DirectoryPart;
import org.skylarkfork.core.membership.DirectorySettings;
import org.skylarkfork.core.membership.EntryList;
import org.skylarkfork.core.membership.EntryListSettings;
import org.skylarkfork.core.membership.Member;
import org.skylarkfork.core.membership.MembershipPart;
import org.skylarkfork.core.membership.MembershipSettings;
import org.skylarkfork.core.membership.Seed;
import org.skylarkfork.core.membership.ServingState;
import org.skylarkfork.core.quality.PriorQualityBook;
import org.skylarkfork.core.quality.QualityBook;
import org.skylarkfork.core.routing.Candidates;
import org.skylarkfork.core.routing.CheapestModelPlanner;
import org.skylarkfork.core.routing.CompiledRules;
import org.skylarkfork.core.routing.DirectPlanner;
import org.skylarkfork.core.routing.FixedOrderPlanner;
import org.skylarkfork.core.routing.LeastReportedLoadChooser;
import org.skylarkfork.core.routing.RoutePlanner;
import org.skylarkfork.core.routing.Versions;
import org.skylarkfork.core.session.SessionPins;
import org.skylarkfork.runtime.codec.Codec;
import org.skylarkfork.runtime.http.CallerServer;
import org.skylarkfork.runtime.http.HttpSettings;
import org.skylarkfork.runtime.http.UpstreamClient;
import org.skylarkfork.runtime.loop.Journal;
import org.skylarkfork.runtime.loop.MonotonicClock;
import org.skylarkfork.runtime.loop.ReducerLoop;
import org.skylarkfork.runtime.settings.DaemonSettings;
import org.skylarkfork.runtime.trace.Metrics;
import org.skylarkfork.runtime.trace.TimelineWriter;
import org.skylarkfork.runtime.trace.TraceHandler;
import org.tinylog.Logger;

/** One daemon: its parts, listeners and clients. */
public final class DaemonNode implements AutoCloseable {

  private static final long POLL_MILLIS = 10;

  private final DaemonSettings settings;
  private final Metrics metrics = new Metrics();
  private final MonotonicClock clock;
  private final ReducerLoop loop;
  private final CallerServer callers;
  private final UpstreamClient upstreams;
  private final @Nullable TimelineWriter timeline;
  private final NodeQueries queries;
  private final long incarnation;
  private @Nullable InetSocketAddress callerAddress;
  private @Nullable DirectoryPart directory;

  /**
   * Makes a daemon; {@link #start} opens it.
   *
   * @param settings its settings
   * @param clock the daemon's clock
   * @param onFailure told if an invariant breaks
   */
  public DaemonNode(DaemonSettings settings, MonotonicClock clock, Consumer<Throwable> onFailure) {
    this.settings = settings;
    this.clock = clock;
    this.incarnation = clock.instant().toEpochMilli();
    this.timeline =
        settings.timelineFile() == null
            ? null
            : new TimelineWriter(settings.timelineFile(), new Codec(), metrics);
    TraceHandler traces = new TraceHandler(settings.node(), metrics, timeline);
    EffectRouter router =
        new EffectRouter(
            effect -> callers().carryOut(effect),
            effect -> upstreams().carryOut(effect),
            effect -> {},
            effect -> {},
            effect -> {},
            traces::carryOut);
    this.loop = new ReducerLoop(clock, router, Journal.NONE, onFailure);
    this.queries = new NodeQueries(loop);
    ObjectMapper json = new ObjectMapper();
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

  private CallerServer callers() {
    return callers;
  }

  private UpstreamClient upstreams() {
    return upstreams;
  }

  /** Opens the listeners and starts to work. */
  public void start(Configuration configuration) {
    InetSocketAddress address = callers.start();
    callerAddress = address;
    FixedConfiguration view = new FixedConfiguration(configuration);
    directory = new DirectoryPart(settings.node(), view, DirectorySettings.DEFAULT);
    MembershipPart membership =
        new MembershipPart(self(address), seeds(), view, MembershipSettings.DEFAULT, incarnation);
    EntryList entries = new EntryList(membership, view, EntryListSettings.DEFAULT);
    QualityBook quality = new PriorQualityBook(view);
    SessionPins pins = new LocalPins();
    Candidates candidates =
        new Candidates(view, new Versions(view, directory, quality, pins, settings.zone()));
    LocalLedger ledger = new LocalLedger();
    RequestPart requests =
        new RequestPart(
            new RequestCollaborators(
                view,
                current -> new CompiledRules(current.rules()),
                new RoutePlanner(
                    new CheapestModelPlanner(candidates),
                    new DirectPlanner(candidates),
                    new FixedOrderPlanner(candidates)),
                directory,
                new LeastReportedLoadChooser(),
                quality,
                pins,
                ledger,
                new OpenAdmission(),
                entries),
            RequestSettings.DEFAULT,
            incarnation);
    queries.attach(view, entries);
    loop.start(new Reducer(List.of(membership, directory, entries, requests, ledger)));
    loop.submit(new LifecycleEvent.Started());
    Logger.info("node: {} serves callers at {}.", settings.node(), address);
  }

  private Member self(InetSocketAddress address) {
    return new Member(
        settings.node(),
        settings.host(),
        settings.peerPort(),
        address.getPort(),
        settings.adminPort(),
        settings.zone(),
        settings.region(),
        List.of(Member.ENTRY),
        1,
        incarnation,
        0,
        ServingState.SERVING);
  }

  private List<Seed> seeds() {
    return settings.seeds().stream()
        .map(seed -> new Seed(seed.node(), seed.host(), seed.port()))
        .toList();
  }

  /** Returns the address for callers; only after the start. */
  public InetSocketAddress callerAddress() {
    if (callerAddress == null) {
      throw new IllegalStateException("start the daemon first");
    }
    return callerAddress;
  }

  /**
   * Waits until enough upstreams have announced themselves.
   *
   * @param count how many
   * @param limit how long to wait at most
   * @throws IllegalStateException if too few came in time
   */
  public void awaitUpstreams(int count, Duration limit) throws InterruptedException {
    Instant until = clock.instant().plus(limit);
    while (loop.ask(now -> directory().all().size()).join() < count) {
      if (clock.instant().isAfter(until)) {
        throw new IllegalStateException("too few upstreams announced themselves in time");
      }
      Thread.sleep(POLL_MILLIS);
    }
  }

  private DirectoryPart directory() {
    if (directory == null) {
      throw new IllegalStateException("start the daemon first");
    }
    return directory;
  }

  /** Asks something of the daemon's state on the reducer's thread. */
  public <T> CompletableFuture<T> ask(Function<Instant, T> question) {
    return loop.ask(question);
  }

  /** Closes the daemon at once. */
  @Override
  public void close() {
    callers.close();
    upstreams.close();
    loop.close();
    if (timeline != null) {
      timeline.close();
    }
  }
}
