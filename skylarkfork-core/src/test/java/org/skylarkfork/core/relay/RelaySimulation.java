package org.skylarkfork.core.relay;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.Part;
import org.skylarkfork.core.Reducer;
import org.skylarkfork.core.command.Command;
import org.skylarkfork.core.command.CommandResult;
import org.skylarkfork.core.command.GroupCommand;
import org.skylarkfork.core.command.GroupId;
import org.skylarkfork.core.command.Member;
import org.skylarkfork.core.command.RelayCommand;
import org.skylarkfork.core.command.RelayResult;
import org.skylarkfork.core.command.Snapshot;
import org.skylarkfork.core.consensus.ConsensusPart;
import org.skylarkfork.core.consensus.GroupCodec;
import org.skylarkfork.core.consensus.GroupSetup;
import org.skylarkfork.core.consensus.GroupStatus;
import org.skylarkfork.core.consensus.MembershipChangePolicy;
import org.skylarkfork.core.consensus.RaftSettings;
import org.skylarkfork.core.effect.Effect;
import org.skylarkfork.core.effect.RelayEffect;
import org.skylarkfork.core.event.ConsensusEvent;
import org.skylarkfork.core.event.Event;
import org.skylarkfork.core.event.RelayEvent;
import org.skylarkfork.core.testing.SimulatedNetwork;

/**
 * Control VMs and entries of the relay in virtual time, and what must hold for them at each moment.
 *
 * <p>Each configuration has a key of its own, so that each one takes the key of the one before
 * away.
 */
final class RelaySimulation {

  /** Time after the acceptance of a change in which a key that it takes away must be dead. */
  static final Duration KEY_BOUND = Duration.ofSeconds(5);

  private static final Duration HEARTBEAT = Duration.ofMillis(1200);
  static final Duration VOTER_TIMEOUT = Duration.ofMillis(2500);
  private static final int SNAPSHOT_ENTRIES = 8;
  private static final long CALL_MILLIS = 4000;
  private static final int MAX_OFFSET_SECONDS = 3600;
  private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

  final SimulatedNetwork network;
  final List<String> controls = new ArrayList<>();
  final List<String> entries = new ArrayList<>();
  long events;

  private final List<String> firstSeeds;
  private final int voters;
  private final Map<String, RelayEntryPart> entryParts = new HashMap<>();
  private final Map<String, ConsensusPart> groups = new HashMap<>();
  private final Map<String, Long> versions = new HashMap<>();
  private final Map<String, Integer> starts = new HashMap<>();
  private final Map<Long, Command> commandByIndex = new HashMap<>();
  private final Map<Long, String> leaderByTerm = new HashMap<>();
  private final Map<Long, Call> calls = new HashMap<>();
  private final Map<Long, String> contents = new HashMap<>();
  private final Map<String, Order> orders = new HashMap<>();
  private final InMemorySnapshotCodec codec = new InMemorySnapshotCodec();
  private long lastCall;
  private long lastVersion;
  private long acceptedVersion;
  private Instant acceptedAt = START;
  private int contentsSent;
  int accepted;
  int reads;
  int ordersAccepted;

  /** An operator's newest order on an availability zone. */
  private static final class Order {
    private final long call;
    private final boolean evacuates;
    private final Instant sentAt;
    private Instant acceptedAt = Instant.MAX.minus(KEY_BOUND);

    private Order(long call, boolean evacuates, Instant sentAt) {
      this.call = call;
      this.evacuates = evacuates;
      this.sentAt = sentAt;
    }
  }

  /** What an operator asked for, and what had been accepted before. */
  private record Call(@Nullable Long version, long acceptedBefore) {}

  /**
   * Makes control VMs and entries and starts them.
   *
   * @param seed seed of all chance
   * @param voters control VMs that are to vote
   * @param spares control VMs beyond these
   * @param entryCount how many entries there are
   */
  RelaySimulation(long seed, int voters, int spares, int entryCount) {
    this.network = new SimulatedNetwork(seed);
    this.voters = voters;
    this.firstSeeds = List.of("control-1", "control-2", "control-3");
    network.setEffectListener(this::onEffect);
    network.setCheck(this::check);
    for (int number = 1; number <= voters + spares; number++) {
      addControl("control-" + number);
    }
    for (int number = 1; number <= entryCount; number++) {
      String name = "entry-" + number;
      entries.add(name);
      network.add(name, List.of(), start -> bootEntry(name));
      start(name);
    }
  }

  /** Adds a control VM with an empty disk at an address of its own and starts it. */
  void addControl(String name) {
    controls.add(name);
    network.add(name, List.of(GroupId.RELAY), start -> bootControl(name, start));
    start(name);
  }

  /** Starts a daemon; its clock may have jumped since its last start. */
  void start(String name) {
    int seconds = network.random().nextInt(2 * MAX_OFFSET_SECONDS) - MAX_OFFSET_SECONDS;
    network.setClockOffset(name, Duration.ofSeconds(seconds));
    network.start(name);
  }

  /**
   * Returns the control VMs that the settings name at a start.
   *
   * <p>Settings are written anew as control VMs are replaced. A daemon whose settings name only
   * ones that are gone for good can't find the group, whatever it does.
   */
  private List<String> seeds() {
    boolean founding = network.now().equals(START);
    return founding ? firstSeeds : List.copyOf(controls.subList(0, firstSeeds.size()));
  }

  private Reducer bootControl(String name, long seed) {
    int start = starts.merge(name, 1, Integer::sum);
    boolean first = start == 1 && network.now().equals(START);
    RelayMachine machine = new RelayMachine();
    ConsensusPart consensus =
        new ConsensusPart(
            name,
            List.of(
                new GroupSetup(
                    GroupId.RELAY,
                    seeds(),
                    new MembershipChangePolicy(first, voters, VOTER_TIMEOUT),
                    machine)),
            settings(),
            codec,
            seed);
    groups.put(name, consensus);
    RelayControlPart control =
        new RelayControlPart(name, machine, consensus, times(), RollOutSettings.DEFAULT);
    return new Reducer(List.of(consensus, control, new AgreementCheck(name)));
  }

  /** Returns the times of daemons whose keys are dead within {@link #KEY_BOUND}. */
  static RelayTimings times() {
    return RelayTimings.of(KEY_BOUND, HEARTBEAT);
  }

  /** Times of a deployment, with few entries between snapshots, so that every path is taken. */
  static RaftSettings settings() {
    return new RaftSettings(
        Duration.ofMillis(350),
        Duration.ofMillis(700),
        Duration.ofMillis(120),
        Duration.ofMillis(300),
        Duration.ofSeconds(1),
        Duration.ofMillis(300),
        SNAPSHOT_ENTRIES,
        4,
        8,
        1024,
        32,
        100,
        200,
        64 * 1024,
        300,
        Duration.ofMillis(120));
  }

  private Reducer bootEntry(String name) {
    versions.remove(name);
    RelayEntryPart part =
        new RelayEntryPart(
            new EntryIdentity(name + ":80", "a", starts.merge(name, 1, Integer::sum)),
            seeds(),
            times(),
            new VersionStatistics());
    entryParts.put(name, part);
    return new Reducer(List.of(part));
  }

  /** Returns a configuration with a key of its own. */
  private RelayConfiguration configuration(long version, String key) {
    RelayConfiguration usual = RelayFixture.configuration(version, key);
    return new RelayConfiguration(
        version, usual.routes(), usual.services(), usual.teams(), usual.limits());
  }

  /** Lets an operator put the next configuration. */
  void putNext(String control) {
    lastVersion++;
    send(control, lastVersion);
  }

  /** Lets an operator put other content under the newest number, as two operators may. */
  void putConflicting(String control) {
    if (lastVersion > 0) {
      send(control, lastVersion);
    }
  }

  private void send(String control, long version) {
    contentsSent++;
    String key = "key-" + contentsSent;
    RelayConfiguration configuration = configuration(version, key);
    byte[] document = (version + " " + key).getBytes(StandardCharsets.UTF_8);
    ask(control, version, new RelayCommand.PutConfiguration(configuration, document));
  }

  /**
   * Lets an operator evacuate an availability zone or take it back, by turns, unless its last order
   * for that zone may still be on its way.
   */
  void orderOnZone(String control, String zone) {
    Order before = orders.get(zone);
    if (before != null && network.now().isBefore(before.sentAt.plusMillis(2 * CALL_MILLIS))) {
      return;
    }
    boolean evacuates = before == null || !before.evacuates;
    orders.put(zone, new Order(lastCall + 1, evacuates, network.now()));
    ask(
        control,
        null,
        evacuates ? new RelayCommand.EvacuateZone(zone) : new RelayCommand.TakeZoneBack(zone));
  }

  private void orderAnswered(long call, CommandResult result) {
    for (Order order : orders.values()) {
      if (order.call == call && result instanceof CommandResult.Done) {
        order.acceptedAt = network.now();
        ordersAccepted++;
      }
    }
  }

  /** An entry that may serve acts on an accepted order in time, whatever it missed. */
  private void checkOrders(String name, RelayEntryPart part) {
    for (Map.Entry<String, Order> zone : orders.entrySet()) {
      Order order = zone.getValue();
      boolean due = network.now().isAfter(order.acceptedAt.plus(KEY_BOUND));
      boolean serves = part.configured() && part.proven(network.timeOf(name));
      if (due && serves && part.evacuatedZones().contains(zone.getKey()) != order.evacuates) {
        throw new AssertionError(name + " missed the order on " + zone.getKey());
      }
    }
  }

  /** Lets an operator read the configuration. */
  void read(String control) {
    ask(control, null, new RelayCommand.ReadConfiguration());
  }

  private void ask(String control, @Nullable Long version, RelayCommand command) {
    lastCall++;
    calls.put(lastCall, new Call(version, acceptedVersion));
    network.inject(control, new RelayEvent.CommandAsked(lastCall, command, CALL_MILLIS));
  }

  private void onEffect(String node, Effect effect) {
    if (effect instanceof RelayEffect.ReplyToCall reply) {
      Call call = calls.remove(reply.callId());
      if (call != null && reply.result() != null) {
        orderAnswered(reply.callId(), reply.result());
      }
      if (call != null && reply.result() instanceof RelayResult.ConfigurationAccepted taken) {
        accepted(call, taken);
      } else if (call != null && reply.result() instanceof RelayResult.ConfigurationRead read) {
        wasRead(call, read);
      }
    }
  }

  private void accepted(Call call, RelayResult.ConfigurationAccepted taken) {
    if (call.version() == null || taken.version() < call.version()) {
      throw new AssertionError(call + " was accepted as " + taken);
    }
    accepted++;
    if (call.version() > acceptedVersion) {
      acceptedVersion = call.version();
      acceptedAt = network.now();
    }
  }

  private void wasRead(Call call, RelayResult.ConfigurationRead read) {
    reads++;
    if (read.version() < call.acceptedBefore()) {
      throw new AssertionError(read.version() + " was read after " + call);
    }
    String text = new String(read.document(), StandardCharsets.UTF_8);
    if (read.version() > 0) {
      sameContent(read.version(), text.substring(text.indexOf(' ') + 1));
    }
  }

  private void sameContent(long version, String key) {
    String known = contents.putIfAbsent(version, key);
    if (known != null && !known.equals(key)) {
      throw new AssertionError("version " + version + " is both " + known + " and " + key);
    }
  }

  private void check() {
    events++;
    for (Map.Entry<String, RelayEntryPart> entry : entryParts.entrySet()) {
      if (network.isUp(entry.getKey()) && !network.isSuspended(entry.getKey())) {
        checkEntry(entry.getKey(), entry.getValue());
      }
    }
  }

  private void checkEntry(String name, RelayEntryPart part) {
    checkOrders(name, part);
    RelayConfiguration believed = part.table().configuration();
    Long before = versions.put(name, believed.version());
    if (before != null && believed.version() < before) {
      throw new AssertionError(name + " fell from " + before + " to " + believed.version());
    }
    if (before == null || believed.version() != before) {
      believed.teams().forEach(team -> sameContent(believed.version(), team.keys().get(0)));
    }
    boolean old = believed.version() < acceptedVersion;
    boolean late = network.now().isAfter(acceptedAt.plus(KEY_BOUND));
    if (old && late && part.configured() && part.proven(network.timeOf(name))) {
      throw new AssertionError(
          name
              + " takes keys of "
              + believed.version()
              + " though "
              + acceptedVersion
              + " was accepted at "
              + acceptedAt);
    }
  }

  /** Returns the control VMs that run and are awake. */
  List<String> runningControls() {
    return controls.stream()
        .filter(name -> network.isUp(name) && !network.isSuspended(name))
        .toList();
  }

  /** Lets time pass until all voters are there again. */
  boolean runUntilRepaired() {
    return network.runUntil(Duration.ofSeconds(40), this::whole);
  }

  private boolean whole() {
    for (String name : runningControls()) {
      GroupStatus status = groups.get(name).status(GroupId.RELAY);
      if (name.equals(status.leader())) {
        List<Member> voting = status.members().voters();
        // A change of members that isn't committed yet can still be lost with its leader's disk.
        return status.commitIndex() > 0
            && status.commitIndex() == status.lastIndex()
            && voting.size() == voters
            && voting.stream().allMatch(voter -> hasAll(voter.node(), status.commitIndex()));
      }
    }
    return false;
  }

  /** Returns whether a daemon runs and knows what is committed; a wiped one knows nothing yet. */
  private boolean hasAll(String name, long commitIndex) {
    return network.isUp(name)
        && groups.get(name).status(GroupId.RELAY).commitIndex() >= commitIndex;
  }

  /** Checks that a change is accepted and reaches every entry once all faults are over. */
  void assertAcceptsChanges() {
    long wanted = lastVersion + 1;
    lastVersion = wanted;
    boolean taken = false;
    for (int tries = 0; tries < 20 && !taken; tries++) {
      List<String> running = runningControls();
      send(running.get(network.random().nextInt(running.size())), wanted);
      taken = network.runUntil(Duration.ofSeconds(2), () -> acceptedVersion >= wanted);
    }
    if (!taken) {
      throw new AssertionError("no change is accepted any more " + describeGroups());
    }
    boolean known = network.runUntil(Duration.ofSeconds(4), () -> everyEntryHas(wanted));
    if (!known) {
      throw new AssertionError(wanted + " didn't reach every entry " + versions + describeGroups());
    }
  }

  private boolean everyEntryHas(long version) {
    return entries.stream()
        .allMatch(
            name -> {
              RelayEntryPart part = entryParts.get(name);
              return part.table().configuration().version() >= version
                  && part.proven(network.timeOf(name));
            });
  }

  String describeGroups() {
    StringBuilder text = new StringBuilder();
    groups.forEach((name, group) -> text.append('\n').append(name).append(group.statuses()));
    return text.toString();
  }

  UniformRandomProvider random() {
    return network.random();
  }

  /** Checks that all control VMs apply the same commands, under one leader a term. */
  private final class AgreementCheck implements Part {
    private final String name;

    private AgreementCheck(String name) {
      this.name = name;
    }

    @Override
    public void apply(Event event, Instant now, Output output) {
      if (event instanceof ConsensusEvent.CommandCommitted committed
          && !(committed.command() instanceof GroupCommand)) {
        Command other = commandByIndex.putIfAbsent(committed.index(), committed.command());
        if (other != null && !other.equals(committed.command())) {
          throw new AssertionError(name + " applied " + committed + " in place of " + other);
        }
      } else if (event instanceof ConsensusEvent.LeaderChanged changed
          && name.equals(changed.node())) {
        String other = leaderByTerm.putIfAbsent(changed.term(), name);
        if (other != null && !other.equals(name)) {
          throw new AssertionError("two leaders in term " + changed.term());
        }
      }
    }
  }

  /** Keeps snapshots in memory under a number. */
  static final class InMemorySnapshotCodec implements GroupCodec {
    private final Map<String, Snapshot> snapshots = new LinkedHashMap<>();

    @Override
    public byte[] encode(Snapshot snapshot) {
      String number = String.valueOf(snapshots.size());
      snapshots.put(number, snapshot);
      return number.getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public Snapshot decode(byte[] bytes) {
      return snapshots.get(new String(bytes, StandardCharsets.UTF_8));
    }

    @Override
    public int sizeOf(Command command) {
      return 100;
    }
  }
}
