package org.skylarkfork.core.membership;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.Part;
import org.skylarkfork.core.configuration.ConfigurationView;
import org.skylarkfork.core.effect.Effect;
import org.skylarkfork.core.effect.PeerEffect;
import org.skylarkfork.core.effect.TraceEffect;
import org.skylarkfork.core.event.Event;
import org.skylarkfork.core.event.LifecycleEvent;
import org.skylarkfork.core.event.MembershipEvent;
import org.skylarkfork.core.event.PeerEvent;
import org.skylarkfork.core.message.MembershipMessage;
import org.skylarkfork.core.message.PeerMessage;

/**
 * Discovers the other daemons, detects their failures and disseminates membership changes.
 *
 * <p>Implements SWIM with the Lifeguard extensions: probes, indirect probes, suspicions that the
 * suspected daemon can refute, and timeouts that grow while this daemon itself appears faulty.
 */
public final class MembershipPart implements Part, Members {

  private static final int FULL_STATE_PAGE_SIZE = 64;
  private static final int MAX_JOIN_TARGETS = 3;

  private final ConfigurationView configuration;
  private final List<Seed> seeds;
  private final MembershipSettings settings;
  private final UniformRandomProvider random;
  private final MemberTable table = new MemberTable();
  private final LocalHealth health = new LocalHealth();
  private final Dissemination dissemination;
  private final FailureDetector detector;
  private final MemberDeadlines deadlines;
  private final Map<String, Long> warnedIncarnations = new TreeMap<>();
  private Member self;
  private boolean superseded;
  private boolean left;
  private Instant nextGossip = Instant.MIN;
  private Instant nextSync = Instant.MIN;
  private Instant nextJoin = Instant.MIN;
  private Output out = new DiscardingOutput();

  /**
   * Creates a part that knows only this daemon.
   *
   * @param self this daemon; its incarnation must be above those of its earlier processes, such as
   *     the time of start
   * @param seeds daemons from which the list of members is requested; this daemon may be among them
   * @param configuration reports whether this daemon holds the configuration lease
   * @param settings settings of the failure detector and of gossip
   * @param seed seed of the random choices
   */
  public MembershipPart(
      Member self,
      List<Seed> seeds,
      ConfigurationView configuration,
      MembershipSettings settings,
      long seed) {
    this.self = self;
    this.seeds = seeds.stream().filter(other -> !other.node().equals(self.name())).toList();
    this.configuration = configuration;
    this.settings = settings;
    random = RandomSource.XO_SHI_RO_256_PP.create(seed);
    deadlines = new MemberDeadlines(settings);
    dissemination = new Dissemination(settings.updatesPerMessage());
    detector =
        new FailureDetector(self.name(), settings, table, health, random, new PeerMessenger());
    table.put(alive(self));
  }

  @Override
  public void apply(Event event, Instant now, Output output) {
    out = output;
    if (event instanceof LifecycleEvent lifecycle) {
      onLifecycleEvent(lifecycle, now);
    } else if (event instanceof PeerEvent.MessageReceived received
        && received.message() instanceof MembershipMessage message) {
      onMessage(received.node(), message, now);
    }
    out = new DiscardingOutput();
  }

  @Override
  public Member self() {
    return self;
  }

  @Override
  public List<Member> live() {
    return table.live();
  }

  @Override
  public List<Member> liveIn(String zone) {
    return table.live().stream().filter(member -> member.zone().equals(zone)).toList();
  }

  @Override
  public Optional<Member> find(String name) {
    MemberUpdate update = table.get(name);
    boolean live = update != null && update.status().isLive();
    return live ? Optional.of(update.member()) : Optional.empty();
  }

  @Override
  public boolean isSuspected(String name) {
    MemberUpdate update = table.get(name);
    return update != null && update.status() == MemberStatus.SUSPECTED;
  }

  @Override
  public boolean isSuperseded() {
    return superseded;
  }

  private void onLifecycleEvent(LifecycleEvent event, Instant now) {
    if (event instanceof LifecycleEvent.Started) {
      seeds.forEach(seed -> registerPeer(seed.node(), seed.host(), seed.port()));
      join(now);
    } else if (event instanceof LifecycleEvent.Tick && !left) {
      tick(now);
    } else if (event instanceof LifecycleEvent.StopRequested) {
      publishRevision(ServingState.LEAVING);
      gossipToAllPeers();
    } else if (event instanceof LifecycleEvent.Ending) {
      leave();
    }
  }

  private void tick(Instant now) {
    updateServingState(now);
    if (!superseded) {
      detector.tick(now).forEach(node -> suspect(node, self.name(), now));
      if (!dissemination.isEmpty() && !now.isBefore(nextGossip)) {
        nextGossip = now.plus(settings.gossipInterval());
        gossip();
      }
    }
    if (!now.isBefore(nextSync)) {
      nextSync = now.plus(settings.syncInterval());
      randomPeers(1)
          .forEach(
              node ->
                  send(node, new MembershipMessage.StateHash(self.incarnation(), table.hash())));
    }
    if (!now.isBefore(nextJoin)) {
      join(now);
    }
    expireSuspicions(now);
    removeExpired(now);
  }

  private void updateServingState(Instant now) {
    if (self.serving() == ServingState.LEAVING) {
      return;
    }
    boolean serves = configuration.mayServe(now);
    ServingState state = serves ? ServingState.SERVING : ServingState.NOT_SERVING;
    if (self.serving() != state) {
      publishRevision(state);
    }
  }

  /** Contacts seeds and daemons considered dead, so that partitioned groups rejoin. */
  private void join(Instant now) {
    nextJoin = now.plus(settings.joinInterval());
    List<String> missing = new ArrayList<>();
    for (Seed seed : seeds) {
      if (!table.isLive(seed.node())) {
        missing.add(seed.node());
      }
    }
    Shuffle.inPlace(missing, random);
    for (String seed : missing.subList(0, Math.min(MAX_JOIN_TARGETS, missing.size()))) {
      send(seed, new MembershipMessage.FullState(self.incarnation(), List.of(alive(self)), true));
    }
    List<String> dead = new ArrayList<>();
    for (MemberUpdate update : table.all()) {
      if (update.status() == MemberStatus.DEAD) {
        dead.add(update.name());
      }
    }
    if (!dead.isEmpty()) {
      String target = dead.get(random.nextInt(dead.size()));
      dissemination.add(requireKnown(target));
      detector.probeOnce(target);
    }
  }

  private void onMessage(String node, MembershipMessage message, Instant now) {
    if (isFromReplacedProcess(node, message)) {
      return;
    }
    if (message instanceof MembershipMessage.Ping ping) {
      merge(ping.updates(), now);
      send(node, new MembershipMessage.Ack(self.incarnation(), ping.sequence(), take(node)));
      exchangeStateIfUnknown(node);
    } else if (message instanceof MembershipMessage.Ack ack) {
      merge(ack.updates(), now);
      detector.onAck(ack.sequence());
    } else if (message instanceof MembershipMessage.Nack nack) {
      detector.onNack(nack.sequence());
    } else if (message instanceof MembershipMessage.PingRequest request) {
      detector.relayProbe(node, request.sequence(), request.target(), now);
    } else if (message instanceof MembershipMessage.Gossip gossip) {
      merge(gossip.updates(), now);
    } else if (message instanceof MembershipMessage.StateHash state) {
      if (state.hash() != table.hash()) {
        sendFullState(node, true);
      }
    } else if (message instanceof MembershipMessage.FullState state) {
      merge(state.updates(), now);
      if (state.wantAnswer()) {
        sendFullState(node, false);
      }
    }
  }

  /**
   * Returns whether a newer process has the sender's name.
   *
   * <p>Answers to the old process are sent to the newer one's address. The old process therefore
   * receives no answers and would report all others as dead. With its messages ignored, it only
   * loses its lease and refuses new work.
   */
  private boolean isFromReplacedProcess(String node, MembershipMessage message) {
    MemberUpdate known = table.get(node);
    if (known == null || message.incarnation() >= known.member().incarnation()) {
      return false;
    }
    // If the sender is the newer process and its clock was set back, this update makes it take a
    // higher incarnation.
    dissemination.add(known);
    out.effect(new TraceEffect.Count("membership_replaced_senders", "", 1));
    if (!Long.valueOf(message.incarnation())
        .equals(warnedIncarnations.put(node, message.incarnation()))) {
      String warning = "has replaced a process that still runs; stop the older one";
      MembershipEventPublisher.log(known.member(), warning, true, out);
    }
    return true;
  }

  private void exchangeStateIfUnknown(String node) {
    if (!table.isLive(node) && !left) {
      // The sender considers this daemon live, but is itself unknown or considered dead here.
      sendFullState(node, true);
    }
  }

  private void sendFullState(String node, boolean wantAnswer) {
    List<MemberUpdate> all = List.copyOf(table.all());
    for (int from = 0; from < all.size(); from += FULL_STATE_PAGE_SIZE) {
      int to = Math.min(from + FULL_STATE_PAGE_SIZE, all.size());
      boolean last = to == all.size();
      send(
          node,
          new MembershipMessage.FullState(
              self.incarnation(), all.subList(from, to), last && wantAnswer));
    }
  }

  private void merge(List<MemberUpdate> updates, Instant now) {
    for (MemberUpdate update : updates) {
      if (update.name().equals(self.name())) {
        mergeSelf(update);
      } else {
        mergeOther(update, now);
      }
    }
  }

  private void mergeOther(MemberUpdate update, Instant now) {
    MemberUpdate known = table.get(update.name());
    if (known == null && !update.status().isLive()) {
      return;
    }
    if (known != null && !update.overrides(known)) {
      confirm(update, known);
      return;
    }
    table.put(update);
    dissemination.add(update);
    registerAddress(update.member(), known);
    deadlines.update(update, now);
    MembershipEventPublisher.raise(update, known, out);
    if (update.status() == MemberStatus.LEFT) {
      unregisterPeer(update.name());
    }
  }

  private void confirm(MemberUpdate update, MemberUpdate known) {
    boolean same = update.status() == known.status() && update.member().equals(known.member());
    if (same && deadlines.confirmSuspicion(update.name(), update.accuser())) {
      dissemination.add(update);
    }
  }

  private void registerAddress(Member member, @Nullable MemberUpdate known) {
    if (known == null || !known.status().isLive() || !known.member().sameAddress(member)) {
      registerPeer(member.name(), member.host(), member.framePort());
    }
  }

  private void mergeSelf(MemberUpdate update) {
    Member reported = update.member();
    if (left || reported.incarnation() < self.incarnation()) {
      return;
    }
    boolean ended = !update.status().isLive();
    if (reported.incarnation() > self.incarnation()) {
      if (ended || reported.sameAddress(self)) {
        // An earlier process of this daemon had a higher incarnation, since the clock was set back.
        raiseIncarnation(reported.incarnation() + 1);
      } else {
        markSuperseded(reported);
      }
    } else if (!reported.sameAddress(self) && !ended) {
      if (reported.address().compareTo(self.address()) > 0) {
        markSuperseded(reported);
      }
    } else if (update.status() != MemberStatus.ALIVE && reported.revision() >= self.revision()) {
      superseded = false;
      health.degrade(1);
      out.effect(new TraceEffect.Count("membership_refutations", "", 1));
      self = self.with(self.incarnation(), reported.revision(), self.serving());
      publishRevision(self.serving());
    }
  }

  private void raiseIncarnation(long incarnation) {
    superseded = false;
    self = self.with(incarnation, 0, self.serving());
    publishRevision(self.serving());
  }

  private void markSuperseded(Member other) {
    if (!superseded) {
      superseded = true;
      String sentence =
          "a newer process at %s has the name %s, so this one accepts no new work; stop one of them"
              .formatted(other.address(), self.name());
      out.effect(new TraceEffect.LogLine(true, "membership", sentence));
      out.effect(new TraceEffect.Count("membership_superseded", "", 1));
    }
  }

  private void suspect(String node, String accuser, Instant now) {
    MemberUpdate known = table.get(node);
    if (known != null && known.status().isLive()) {
      merge(List.of(new MemberUpdate(known.member(), MemberStatus.SUSPECTED, accuser)), now);
    }
  }

  private void expireSuspicions(Instant now) {
    for (String node : deadlines.dueSuspicions(health, now)) {
      MemberUpdate known = requireKnown(node);
      merge(List.of(new MemberUpdate(known.member(), MemberStatus.DEAD, known.accuser())), now);
    }
  }

  private void removeExpired(Instant now) {
    for (String node : deadlines.takeExpired(now)) {
      table.remove(node);
      warnedIncarnations.remove(node);
      unregisterPeer(node);
    }
  }

  /** Increases this daemon's revision and disseminates its state. */
  private void publishRevision(ServingState state) {
    self = self.with(self.incarnation(), self.revision() + 1, state);
    table.put(alive(self));
    dissemination.add(alive(self));
    out.raise(new MembershipEvent.MemberChanged(self));
  }

  private void leave() {
    left = true;
    MemberUpdate update = new MemberUpdate(self, MemberStatus.LEFT, "");
    dissemination.add(update);
    gossipToAllPeers();
  }

  private void gossipToAllPeers() {
    if (!superseded) {
      for (String node : table.peers(self.name())) {
        send(node, new MembershipMessage.Gossip(self.incarnation(), take(self.name())));
      }
    }
  }

  private void gossip() {
    for (String node : randomPeers(settings.gossipFanout())) {
      List<MemberUpdate> updates = take(node);
      if (!updates.isEmpty()) {
        send(node, new MembershipMessage.Gossip(self.incarnation(), updates));
      }
    }
  }

  private List<MemberUpdate> take(String first) {
    return superseded ? List.of() : dissemination.take(first, table.live().size());
  }

  private List<String> randomPeers(int count) {
    List<String> peers = new ArrayList<>(table.peers(self.name()));
    Shuffle.inPlace(peers, random);
    return peers.subList(0, Math.min(count, peers.size()));
  }

  private MemberUpdate requireKnown(String node) {
    MemberUpdate known = table.get(node);
    if (known == null) {
      throw new IllegalStateException(node + " has a deadline but is unknown");
    }
    return known;
  }

  private static MemberUpdate alive(Member member) {
    return new MemberUpdate(member, MemberStatus.ALIVE, "");
  }

  private void send(String node, PeerMessage message) {
    out.effect(new PeerEffect.SendToPeer(node, message));
  }

  private void registerPeer(String node, String host, int port) {
    out.effect(new PeerEffect.LearnPeer(node, host, port));
  }

  private void unregisterPeer(String node) {
    // The address of a seed stays registered; otherwise it would be unreachable until it sends a
    // message itself.
    if (seeds.stream().noneMatch(seed -> seed.node().equals(node))) {
      out.effect(new PeerEffect.ForgetPeer(node));
    }
  }

  private final class PeerMessenger implements FailureDetector.Messenger {

    @Override
    public void ping(String node, long sequence) {
      send(node, new MembershipMessage.Ping(self.incarnation(), sequence, take(node)));
    }

    @Override
    public void requestPing(String helper, String target, long sequence) {
      send(helper, new MembershipMessage.PingRequest(self.incarnation(), sequence, target));
    }

    @Override
    public void ack(String node, long sequence) {
      send(node, new MembershipMessage.Ack(self.incarnation(), sequence, take(node)));
    }

    @Override
    public void nack(String node, long sequence) {
      send(node, new MembershipMessage.Nack(self.incarnation(), sequence));
    }
  }

  private static final class DiscardingOutput implements Output {

    @Override
    public void effect(Effect effect) {}

    @Override
    public void raise(Event event) {}
  }
}
