package org.skylarkfork.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.Part;
import org.skylarkfork.core.crash.RequestKey;
import org.skylarkfork.core.effect.PeerEffect.SendToPeer;
import org.skylarkfork.core.effect.TraceEffect;
import org.skylarkfork.core.event.Event;
import org.skylarkfork.core.event.LifecycleEvent;
import org.skylarkfork.core.event.PeerEvent;
import org.skylarkfork.core.event.RelayEvent;
import org.skylarkfork.core.message.RelayMessage.EntryPoll;
import org.skylarkfork.core.message.RelayMessage.EntryUpdate;
import org.skylarkfork.core.message.RelayMessage.Neighbourhood;
import org.skylarkfork.core.message.RelayMessage.SharedState;

/** An entry's side of the control plane: what it believes, how old that is, and its polls. */
public final class RelayEntryPart implements Part, RelayView {

  /**
   * Time between two polls to each control VM while none is known to lead. The first one waits
   * there for the election's end, so that more only replace what a connection has lost; with 250
   * ms, 91 entries kept each control VM busy with 364 polls a second while it was to vote.
   */
  private static final Duration LEADERLESS = Duration.ofMillis(500);

  private final EntryIdentity self;
  private final RelayTimings times;
  private final VersionLedger counts;
  private List<String> seeds;
  private List<String> controlNodes = List.of();
  private @Nullable String leader;
  private Instant leaderHeard = Instant.EPOCH;
  private final Map<String, Instant> polledAt = new HashMap<>();
  private RouteTable table = new RouteTable(RelayConfiguration.NONE);
  private Instant provenAt = Instant.EPOCH;
  private boolean wasProven;
  private long stateIndex;
  private List<ServiceRollOut> rollOuts = List.of();
  private Set<RequestKey> quarantined = Set.of();
  private final UpstreamDirectory directory = new UpstreamDirectory();
  private int entries = 1;
  private Neighbourhood neighbourhood = Neighbourhood.NONE;
  private final TickLag lag;
  private boolean wasBusy;
  private boolean stopping;

  /**
   * Makes the part.
   *
   * @param self this entry as the control VMs are to see it
   * @param seeds peer names of control VMs to begin with
   * @param times when to do what
   * @param counts what this entry saw of each version
   */
  public RelayEntryPart(
      EntryIdentity self, List<String> seeds, RelayTimings times, VersionLedger counts) {
    this.self = self;
    this.seeds = List.copyOf(seeds);
    this.times = times;
    this.counts = counts;
    this.lag = new TickLag(times.tick());
  }

  /** Returns the name that tells this entry from all others. */
  String name() {
    return self.callerAddress();
  }

  @Override
  public RouteTable table() {
    return table;
  }

  @Override
  public boolean configured() {
    return table.configuration().version() > 0;
  }

  @Override
  public boolean proven(Instant now) {
    return now.isBefore(provenAt.plus(times.lease()));
  }

  @Override
  public Duration proofAge(Instant now) {
    return Duration.between(provenAt, now);
  }

  /** Returns whether callers can be served. */
  public boolean ready(Instant now) {
    return configured() && proven(now) && !stopping;
  }

  @Override
  public boolean settled() {
    return directory.settled();
  }

  @Override
  public List<TrackedUpstream> upstreams(String service) {
    return directory.upstreams(service);
  }

  @Override
  public List<ServiceRollOut> rollOuts() {
    return rollOuts;
  }

  @Override
  public @Nullable String stableVersion(String service) {
    return directory.usualVersion(service);
  }

  @Override
  public int entries() {
    return Math.max(1, entries);
  }

  @Override
  public EntryOrdinal place() {
    return neighbourhood.place();
  }

  @Override
  public double loadShare() {
    return Math.min(1, (neighbourhood.peers().size() + 1.0) / entries());
  }

  /**
   * Returns where callers may connect, as the leader told last; this entry alone before that.
   *
   * <p>Entries answer callers' look-ups as control VMs do: a caller waits a second for each that
   * stands still, a whole deadline of a booking, and there are more entries than control VMs. After
   * a crash of everything an entry is up a second before it is told anything. A caller that was
   * turned away then has no other try; one that comes here waits until this entry serves.
   */
  public List<String> callerAddresses() {
    if (stopping || !neighbourhood.callerAddresses().isEmpty()) {
      return neighbourhood.callerAddresses();
    }
    return List.of(self.callerAddress());
  }

  @Override
  public boolean isQuarantined(RequestKey key) {
    return quarantined.contains(key);
  }

  /** Returns how many requests are refused because they end the upstreams that run them. */
  public int quarantinedCount() {
    return quarantined.size();
  }

  /** Returns how many upstreams name a rate limit, as far as this entry knows. */
  public int limitedUpstreamCount() {
    return (int) directory.tracks().stream().filter(track -> track.rateLimit().isBounded()).count();
  }

  @Override
  public @Nullable String leader() {
    return leader;
  }

  /** Returns the availability zones whose upstreams get nothing. */
  public Set<String> evacuatedZones() {
    return directory.evacuated();
  }

  /** Returns the peer names of entries that are told of this one's load. */
  List<String> peers() {
    return neighbourhood.peers();
  }

  @Override
  public List<String> schedulers() {
    return neighbourhood.schedulers();
  }

  Collection<TrackedUpstream> tracks() {
    return directory.tracks();
  }

  @Nullable TrackedUpstream track(String id) {
    return directory.track(id);
  }

  @Override
  public void apply(Event event, Instant now, Output output) {
    if (event instanceof LifecycleEvent.Tick) {
      tick(now, output);
    } else if (event instanceof PeerEvent.MessageReceived received
        && received.message() instanceof EntryUpdate update) {
      onUpdate(received.node(), update, now, output);
    } else if (event instanceof RelayEvent.SeedsChanged changed) {
      seeds = changed.nodes();
    } else if (event instanceof LifecycleEvent.StopRequested) {
      stopping = true;
      targets().forEach(node -> poll(node, now, output));
    }
  }

  private void tick(Instant now, Output output) {
    lag.tick(now);
    if (lag.busy() != wasBusy) {
      wasBusy = lag.busy();
      log(wasBusy, wasBusy ? "event=busy" : "event=busy_no_more", output);
    }
    if (wasProven && !proven(now)) {
      wasProven = false;
      log(true, "event=lease_lost configuration=" + table.configuration().version(), output);
    }
    if (leader != null && now.isAfter(leaderHeard.plus(times.poll().multipliedBy(3)))) {
      log(true, "event=leader_lost node=" + leader, output);
      leader = null;
    }
    for (String node : targets()) {
      Duration wait = waitFor(node);
      if (!now.isBefore(polledAt.getOrDefault(node, Instant.EPOCH).plus(wait))) {
        poll(node, now, output);
      }
    }
  }

  private Duration waitFor(String node) {
    if (leader == null) {
      return LEADERLESS;
    }
    return node.equals(leader) ? times.poll() : times.backgroundPoll();
  }

  private Set<String> targets() {
    if (leader != null && !controlNodes.isEmpty()) {
      return new LinkedHashSet<>(controlNodes);
    }
    Set<String> all = new LinkedHashSet<>(controlNodes);
    all.addAll(seeds);
    return all;
  }

  private void poll(String node, Instant now, Output output) {
    polledAt.put(node, now);
    output.effect(
        new SendToPeer(
            node,
            new EntryPoll(
                self.callerAddress(),
                self.zone(),
                ready(now),
                self.incarnation(),
                now,
                table.configuration().version(),
                stateIndex,
                directory.epoch(),
                directory.sequence(),
                leader == null,
                lag.busy(),
                neighbourhood.version(),
                node.equals(leader) ? counts.all() : List.of(),
                node.equals(leader) ? directory.limitsNewToLeader(now) : List.of())));
  }

  private void onUpdate(String from, EntryUpdate update, Instant now, Output output) {
    Instant proof = update.provenAt();
    if (proof != null) {
      if (!from.equals(leader)) {
        log(false, "event=leader_found node=" + from, output);
      }
      leader = from;
      leaderHeard = now;
    }
    take(update.configuration(), output);
    takeShared(update, now, output);
    directory.take(update.directory(), now, output);
    if (!update.controlNodes().isEmpty()) {
      controlNodes = proof == null ? joined(update.controlNodes()) : update.controlNodes();
    }
    Neighbourhood told = update.neighbourhood();
    if (told != null) {
      neighbourhood = told;
    }
    // Entries that are cut off from the leader still hold their connections, so the count that
    // divides an upstream's connections never falls.
    entries = Math.max(entries, update.entries());
    if (proof != null && proof.isAfter(provenAt)) {
      provenAt = proof;
      if (!wasProven && proven(now)) {
        wasProven = true;
        log(false, "event=lease_gained configuration=" + table.configuration().version(), output);
      }
    }
  }

  /** Adds control VMs that one who doesn't lead has named; its list may be an old one. */
  private List<String> joined(List<String> named) {
    Set<String> all = new LinkedHashSet<>(controlNodes);
    all.addAll(named);
    return List.copyOf(all);
  }

  private void take(@Nullable RelayConfiguration newer, Output output) {
    if (newer != null && newer.version() > table.configuration().version()) {
      log(
          false,
          "event=configuration_taken version="
              + newer.version()
              + " before="
              + table.configuration().version(),
          output);
      table = new RouteTable(newer);
    }
  }

  private void takeShared(EntryUpdate update, Instant now, Output output) {
    SharedState shared = update.shared();
    if (shared == null || update.stateIndex() <= stateIndex) {
      return;
    }
    stateIndex = update.stateIndex();
    rollOuts = shared.rollOuts();
    for (ServiceRollOut rollOut : rollOuts) {
      if (rollOut.phase() == RollOutPhase.SUCCEEDED) {
        directory.usualVersion(rollOut.service(), rollOut.target());
      }
    }
    takeEvacuated(Set.copyOf(shared.evacuated()), now, output);
    takeQuarantined(Set.copyOf(shared.quarantined()), now, output);
    directory.leaving(shared.leaving(), stateIndex, output);
  }

  private void takeEvacuated(Set<String> zones, Instant now, Output output) {
    Set<String> before = directory.evacuated();
    if (zones.equals(before)) {
      return;
    }
    log(
        false,
        "event=zones_evacuated zones="
            + new TreeSet<>(zones)
            + " before="
            + new TreeSet<>(before)
            + " index="
            + stateIndex
            + " proof_age_ms="
            + proofAge(now).toMillis(),
        output);
    directory.evacuated(zones);
  }

  private void takeQuarantined(Set<RequestKey> requests, Instant now, Output output) {
    if (requests.equals(quarantined)) {
      return;
    }
    log(
        true,
        "event=requests_quarantined count="
            + requests.size()
            + " added="
            + without(requests, quarantined)
            + " lifted="
            + without(quarantined, requests)
            + " index="
            + stateIndex
            + " proof_age_ms="
            + proofAge(now).toMillis(),
        output);
    quarantined = requests;
  }

  private static List<RequestKey> without(Set<RequestKey> requests, Set<RequestKey> others) {
    return requests.stream().filter(key -> !others.contains(key)).toList();
  }

  private static void log(boolean warning, String facts, Output output) {
    output.effect(new TraceEffect.LogLine(warning, "relay", facts));
  }
}
