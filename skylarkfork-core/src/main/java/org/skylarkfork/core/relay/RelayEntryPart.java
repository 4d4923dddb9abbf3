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
import org.skylarkfork.core.crash.RequestKeys;
import org.skylarkfork.core.effect.PeerEffect.SendToPeer;
import org.skylarkfork.core.effect.TraceEffect;
import org.skylarkfork.core.entrylist.NamedEntry;
import org.skylarkfork.core.entrylist.WeightedSelection;
import org.skylarkfork.core.event.Event;
import org.skylarkfork.core.event.LifecycleEvent;
import org.skylarkfork.core.event.PeerEvent;
import org.skylarkfork.core.event.RelayEvent;
import org.skylarkfork.core.message.RelayMessage.EntryPoll;
import org.skylarkfork.core.message.RelayMessage.EntryUpdate;
import org.skylarkfork.core.message.RelayMessage.ForwardedBackoff;
import org.skylarkfork.core.message.RelayMessage.Neighbourhood;
import org.skylarkfork.core.message.RelayMessage.SharedState;
import org.skylarkfork.core.overload.RejectionLimits;
import org.skylarkfork.core.reachability.UpstreamPaths;
import org.skylarkfork.core.rollout.KnownRollOuts;
import org.skylarkfork.core.rollout.RollOutPhase;
import org.skylarkfork.core.rollout.ServiceRollOut;

/**
 * An entry's side of the control plane: polls the control VMs and keeps the entry's view of the
 * deployment and the age of that view.
 */
public final class RelayEntryPart implements Part, RelayView {

  /**
   * Interval between polls of each control VM while no leader is known. The first poll waits at the
   * control VM until the election ends, so further ones only replace polls that a connection has
   * lost. With 250 ms, 91 entries loaded each control VM with 364 polls per second during the
   * election.
   */
  private static final Duration LEADERLESS_POLL_INTERVAL = Duration.ofMillis(500);

  private final EntryIdentity self;
  private final RelayTimings timings;
  private final VersionStatistics counts;
  private List<String> seeds;
  private List<String> controlNodes = List.of();
  private @Nullable String leader;
  private Instant leaderUpdatedAt = Instant.EPOCH;
  private final Map<String, Instant> polledAt = new HashMap<>();
  private RouteTable table = new RouteTable(RelayConfiguration.NONE);
  private Instant provenAt = Instant.EPOCH;
  private boolean wasProven;
  private long stateIndex;
  private final KnownRollOuts rollOuts = new KnownRollOuts();
  private Set<RequestKey> quarantined = Set.of();
  private final UpstreamDirectory directory = new UpstreamDirectory();
  private int entries = 1;
  private Neighbourhood neighbourhood = Neighbourhood.NONE;
  private final UpstreamPaths paths = new UpstreamPaths();
  private final UpstreamPathMonitor pathMonitor = new UpstreamPathMonitor(paths, directory);
  private final RejectionLimits rejectionLimits = new RejectionLimits();
  private final TickLag lag;
  private boolean wasBusy;
  private boolean stopping;

  /**
   * Creates the part.
   *
   * @param self identity that this entry reports to the control VMs
   * @param seeds peer names of the control VMs to contact first
   * @param timings intervals and timeouts
   * @param counts outcomes that this entry observed per version
   */
  public RelayEntryPart(
      EntryIdentity self, List<String> seeds, RelayTimings timings, VersionStatistics counts) {
    this.self = self;
    this.seeds = List.copyOf(seeds);
    this.timings = timings;
    this.counts = counts;
    this.lag = new TickLag(timings.tickInterval());
  }

  /** Returns the unique name of this entry. */
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
    return now.isBefore(provenAt.plus(timings.leaseDuration()));
  }

  @Override
  public Duration proofAge(Instant now) {
    return Duration.between(provenAt, now);
  }

  /** Returns whether this entry is ready to serve callers. */
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
    return rollOuts.newest();
  }

  @Override
  public @Nullable String stableVersion(String service) {
    return directory.stableVersion(service);
  }

  @Override
  public int entries() {
    return Math.max(1, entries);
  }

  @Override
  public EntryOrdinal entryOrdinal() {
    return neighbourhood.place();
  }

  @Override
  public double loadShare() {
    return Math.min(1, (neighbourhood.peers().size() + 1.0) / entries());
  }

  /**
   * Returns the addresses to which a caller may connect, as last reported by the leader, or this
   * entry's own address before the first report.
   *
   * <p>Entries answer callers' look-ups of addresses as control VMs do, since there are more
   * entries than control VMs and a caller waits a second for each unresponsive one, which is the
   * whole deadline of a booking. After a full outage an entry runs for a second before it receives
   * its first update. A caller that got no address in that time has no further attempt; one that
   * connects to this entry waits until the entry serves.
   *
   * @param zone the caller's availability zone; empty if unknown
   * @param requester identifies the caller; empty if unknown
   */
  public List<String> callerAddresses(String zone, String requester) {
    List<String> reported = neighbourhood.callerAddresses();
    if (!neighbourhood.selectable().isEmpty() && !requester.isEmpty()) {
      return WeightedSelection.select(
          neighbourhood.selectable(), requester, zone.isEmpty() ? self.zone() : zone);
    }
    return stopping || !reported.isEmpty() ? reported : List.of(self.callerAddress());
  }

  /**
   * Returns this entry's weight among those that lists for callers name, in thousandths of the
   * largest; 1000 if the lists don't depend on weights, 0 if they don't name this entry.
   */
  public int weight() {
    List<NamedEntry> selectable = neighbourhood.selectable();
    return selectable.isEmpty()
        ? NamedEntry.MAX_WEIGHT
        : selectable.stream()
            .filter(entry -> entry.address().equals(self.callerAddress()))
            .mapToInt(NamedEntry::weight)
            .findFirst()
            .orElse(0);
  }

  @Override
  public @Nullable RequestKey quarantinedKey(RequestKeys keys) {
    return quarantined.isEmpty() ? null : keys.findFirst(quarantined::contains);
  }

  /** Returns the number of quarantined requests. */
  public int quarantinedCount() {
    return quarantined.size();
  }

  /** Returns the number of known upstreams that report a rate limit. */
  public int limitedUpstreamCount() {
    return (int)
        directory.allUpstreams().stream()
            .filter(upstream -> upstream.rateLimit().isBounded())
            .count();
  }

  /** Returns the known upstreams that have asked this entry to send nothing for now. */
  public List<BackedOffUpstream> backedOffUpstreams(Instant now) {
    return directory.allUpstreams().stream()
        .filter(upstream -> upstream.backoff().isActive(now))
        .map(upstream -> describeBackoff(upstream, now))
        .toList();
  }

  private static BackedOffUpstream describeBackoff(TrackedUpstream upstream, Instant now) {
    UpstreamInstance instance = upstream.instance();
    Instant until = now.plus(upstream.backoff().remaining(now));
    return new BackedOffUpstream(instance.id(), instance.service(), instance.address(), until);
  }

  @Override
  public RejectionLimits rejectionLimits() {
    return rejectionLimits;
  }

  @Override
  public UpstreamPaths paths() {
    return paths;
  }

  /** Returns the entries that open connections to upstreams for this one if it can't itself. */
  public List<String> forwarders() {
    return neighbourhood.forwarders();
  }

  /**
   * Returns whether this entry opens a connection to an upstream for another entry.
   *
   * @param address address of the upstream
   * @param now the present time
   */
  public ForwardDecision decideForward(String address, Instant now) {
    return stopping ? ForwardDecision.UNUSABLE : pathMonitor.decideForward(address, now);
  }

  /** Returns the upstream at an address, or null if none is known. */
  public @Nullable UpstreamInstance instanceAt(String address) {
    TrackedUpstream upstream = directory.upstreamAt(address);
    return upstream == null ? null : upstream.instance();
  }

  @Override
  public @Nullable String leader() {
    return leader;
  }

  /** Returns the evacuated availability zones, whose upstreams receive no requests. */
  public Set<String> evacuatedZones() {
    return directory.evacuated();
  }

  /** Returns the peer names of the entries to which this one reports its load. */
  List<String> peers() {
    return neighbourhood.peers();
  }

  @Override
  public List<String> schedulers() {
    return neighbourhood.schedulers();
  }

  Collection<TrackedUpstream> allUpstreams() {
    return directory.allUpstreams();
  }

  @Nullable TrackedUpstream upstream(String id) {
    return directory.upstream(id);
  }

  @Override
  public void apply(Event event, Instant now, Output output) {
    if (event instanceof LifecycleEvent.Tick) {
      tick(now, output);
    } else if (event instanceof PeerEvent.MessageReceived received
        && received.message() instanceof EntryUpdate update) {
      onUpdate(received.node(), update, now, output);
    } else if (event instanceof PeerEvent.MessageReceived received
        && received.message() instanceof ForwardedBackoff backoff) {
      pathMonitor.onForwardedBackoff(backoff, now, output);
    } else if (event instanceof RelayEvent.UpstreamConnected connected) {
      pathMonitor.onConnected(connected, forwarders().size(), now, output);
    } else if (event instanceof RelayEvent.SeedsChanged changed) {
      seeds = changed.nodes();
    } else if (event instanceof LifecycleEvent.StopRequested) {
      stopping = true;
      pollTargets().forEach(node -> poll(node, now, output));
    }
  }

  private void tick(Instant now, Output output) {
    lag.tick(now);
    if (lag.busy() != wasBusy) {
      wasBusy = lag.busy();
      log(wasBusy, wasBusy ? "event=busy" : "event=busy_no_more", output);
    }
    pathMonitor.tick(now, output);
    if (wasProven && !proven(now)) {
      wasProven = false;
      log(true, "event=lease_lost configuration=" + table.configuration().version(), output);
    }
    if (leader != null
        && now.isAfter(leaderUpdatedAt.plus(timings.pollInterval().multipliedBy(3)))) {
      log(true, "event=leader_lost node=" + leader, output);
      leader = null;
    }
    for (String node : pollTargets()) {
      Duration interval = pollIntervalOf(node);
      if (!now.isBefore(polledAt.getOrDefault(node, Instant.EPOCH).plus(interval))) {
        poll(node, now, output);
      }
    }
  }

  private Duration pollIntervalOf(String node) {
    if (leader == null) {
      return LEADERLESS_POLL_INTERVAL;
    }
    return node.equals(leader) ? timings.pollInterval() : timings.backgroundPollInterval();
  }

  private Set<String> pollTargets() {
    if (leader != null && !controlNodes.isEmpty()) {
      return new LinkedHashSet<>(controlNodes);
    }
    Set<String> knownNodes = new LinkedHashSet<>(controlNodes);
    knownNodes.addAll(seeds);
    return knownNodes;
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
                lag.busy() || !paths.cutServices().isEmpty(),
                neighbourhood.version(),
                node.equals(leader) ? counts.report(paths, now) : List.of(),
                node.equals(leader) ? directory.limitsUnknownToLeader(now) : List.of(),
                node.equals(leader) ? directory.leavingUnknownToLeader() : List.of(),
                self.capacity(),
                node.equals(leader) ? rollOuts.ages(now) : List.of())));
  }

  private void onUpdate(String from, EntryUpdate update, Instant now, Output output) {
    Instant proofTime = update.provenAt();
    if (proofTime != null) {
      if (!from.equals(leader)) {
        log(false, "event=leader_found node=" + from, output);
      }
      leader = from;
      leaderUpdatedAt = now;
    }
    applyConfiguration(update.configuration(), output);
    applySharedState(update, now, output);
    directory.apply(update.directory(), now, output);
    if (!update.controlNodes().isEmpty()) {
      controlNodes =
          proofTime == null ? mergedControlNodes(update.controlNodes()) : update.controlNodes();
    }
    Neighbourhood newNeighbourhood = update.neighbourhood();
    if (newNeighbourhood != null) {
      neighbourhood = newNeighbourhood;
      paths.updateForwarders(newNeighbourhood.forwarders());
    }
    // Entries that are partitioned from the leader keep their connections, so the count that
    // divides an upstream's connections never decreases.
    entries = Math.max(entries, update.entries());
    if (proofTime != null && proofTime.isAfter(provenAt)) {
      provenAt = proofTime;
      if (!wasProven && proven(now)) {
        wasProven = true;
        log(false, "event=lease_gained configuration=" + table.configuration().version(), output);
      }
    }
  }

  /**
   * Adds the control VMs that a follower listed to the known ones, since its list may be outdated.
   */
  private List<String> mergedControlNodes(List<String> listed) {
    Set<String> knownNodes = new LinkedHashSet<>(controlNodes);
    knownNodes.addAll(listed);
    return List.copyOf(knownNodes);
  }

  private void applyConfiguration(@Nullable RelayConfiguration newConfiguration, Output output) {
    if (newConfiguration != null && newConfiguration.version() > table.configuration().version()) {
      log(
          false,
          "event=configuration_taken version="
              + newConfiguration.version()
              + " before="
              + table.configuration().version(),
          output);
      table = new RouteTable(newConfiguration);
      paths.retain(newConfiguration.services().stream().map(RelayService::name).toList());
    }
  }

  private void applySharedState(EntryUpdate update, Instant now, Output output) {
    SharedState shared = update.shared();
    if (shared == null || update.stateIndex() <= stateIndex) {
      return;
    }
    stateIndex = update.stateIndex();
    rollOuts.update(shared.rollOuts(), now).forEach(counts::restart);
    for (ServiceRollOut rollOut : rollOuts.newest()) {
      if (rollOut.phase() == RollOutPhase.SUCCEEDED) {
        directory.stableVersion(rollOut.service(), rollOut.target());
      }
    }
    applyEvacuatedZones(Set.copyOf(shared.evacuated()), now, output);
    applyQuarantine(Set.copyOf(shared.quarantined()), now, output);
    directory.updateLeaving(shared.leaving(), stateIndex, output);
  }

  private void applyEvacuatedZones(Set<String> zones, Instant now, Output output) {
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
    directory.evacuated(zones, output);
  }

  private void applyQuarantine(Set<RequestKey> requests, Instant now, Output output) {
    if (requests.equals(quarantined)) {
      return;
    }
    log(
        true,
        "event=requests_quarantined count="
            + requests.size()
            + " added="
            + difference(requests, quarantined)
            + " lifted="
            + difference(quarantined, requests)
            + " index="
            + stateIndex
            + " proof_age_ms="
            + proofAge(now).toMillis(),
        output);
    quarantined = requests;
  }

  private static List<RequestKey> difference(Set<RequestKey> requests, Set<RequestKey> others) {
    return requests.stream().filter(key -> !others.contains(key)).toList();
  }

  private static void log(boolean warning, String logText, Output output) {
    output.effect(new TraceEffect.LogLine(warning, "relay", logText));
  }
}
