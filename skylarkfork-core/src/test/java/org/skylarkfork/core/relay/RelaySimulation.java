package org.skylarkfork.core.relay;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.Reducer;
import org.skylarkfork.core.command.CommandResult;
import org.skylarkfork.core.command.GroupId;
import org.skylarkfork.core.command.Member;
import org.skylarkfork.core.command.RelayCommand;
import org.skylarkfork.core.command.RelayResult;
import org.skylarkfork.core.consensus.ConsensusPart;
import org.skylarkfork.core.consensus.GroupSetup;
import org.skylarkfork.core.consensus.GroupStatus;
import org.skylarkfork.core.consensus.MembershipChangePolicy;
import org.skylarkfork.core.consensus.RaftLimits;
import org.skylarkfork.core.consensus.RaftSettings;
import org.skylarkfork.core.consensus.RaftTimeouts;
import org.skylarkfork.core.effect.Effect;
import org.skylarkfork.core.effect.RelayEffect;
import org.skylarkfork.core.event.RelayEvent;
import org.skylarkfork.core.overload.OverloadSettings;
import org.skylarkfork.core.rollout.RollOutSettings;
import org.skylarkfork.core.testing.SimulatedNetwork;

/**
 * Simulates control VMs and entries of the relay in virtual time and checks their invariants after
 * each event.
 *
 * <p>Each configuration has a different key, so that each one removes the key of the one before.
 */
final class RelaySimulation {

  /** Time from the acceptance of a change until entries must reject a key that it removes. */
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
  private final Map<String, VersionStatistics> statistics = new HashMap<>();
  private final Map<String, ConsensusPart> groups = new HashMap<>();
  private final Map<String, RelayMachine> machines = new HashMap<>();
  private final Map<String, Long> versions = new HashMap<>();
  private final Map<String, Integer> starts = new HashMap<>();
  private final AgreementCheck agreement = new AgreementCheck();
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

  /** An operator's newest command that evacuates or restores an availability zone. */
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

  /**
   * A call of an operator, with the version that it puts (null for other calls) and the version
   * accepted before.
   */
  private record Call(@Nullable Long version, long acceptedBefore) {}

  /**
   * Creates and starts control VMs and entries.
   *
   * @param seed seed of the random numbers
   * @param voters number of voters among the control VMs
   * @param spares number of further control VMs
   * @param entryCount number of entries
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

  /** Adds a control VM with an empty disk at a new address and starts it. */
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
   * Returns the seeds in the settings of a daemon that starts.
   *
   * <p>Settings are updated as control VMs are replaced. A daemon whose seeds have all been removed
   * permanently cannot find the group.
   */
  private List<String> seeds() {
    boolean bootstrapping = network.now().equals(START);
    return bootstrapping ? firstSeeds : List.copyOf(controls.subList(0, firstSeeds.size()));
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
    machines.put(name, machine);
    RelayControlPart control =
        new RelayControlPart(
            name, machine, consensus, times(), RollOutSettings.DEFAULT, OverloadSettings.DEFAULT);
    return new Reducer(List.of(consensus, control, agreement.part(name)));
  }

  /** Returns the timings of daemons that reject removed keys within {@link #KEY_BOUND}. */
  static RelayTimings times() {
    return RelayTimings.of(KEY_BOUND, HEARTBEAT);
  }

  /**
   * Returns the consensus timings of a deployment, with few log entries between snapshots, so that
   * snapshots are exercised.
   */
  static RaftSettings settings() {
    RaftTimeouts timeouts =
        new RaftTimeouts(
            Duration.ofMillis(350),
            Duration.ofMillis(700),
            Duration.ofMillis(120),
            Duration.ofMillis(300),
            Duration.ofMillis(700),
            Duration.ofSeconds(1),
            Duration.ofMillis(300),
            Duration.ofMillis(120));
    RaftLimits limits =
        new RaftLimits(
            SNAPSHOT_ENTRIES,
            64 * 1024,
            4,
            64 * 1024,
            8,
            1024,
            32,
            64 * 1024,
            100,
            200,
            64 * 1024,
            300);
    return new RaftSettings(timeouts, limits);
  }

  private Reducer bootEntry(String name) {
    versions.remove(name);
    statistics.put(name, new VersionStatistics());
    RelayEntryPart part =
        new RelayEntryPart(
            new EntryIdentity(name + ":80", "a", starts.merge(name, 1, Integer::sum)),
            seeds(),
            times(),
            statistics.get(name));
    entryParts.put(name, part);
    return new Reducer(List.of(part));
  }

  /** Returns a configuration with a given key. */
  private RelayConfiguration configuration(long version, String key) {
    RelayConfiguration base = RelayFixture.configuration(version, key);
    return new RelayConfiguration(
        version, base.routes(), base.services(), base.teams(), base.limits());
  }

  /** Sends the next configuration as an operator. */
  void putNext(String control) {
    lastVersion++;
    send(control, lastVersion);
  }

  /** Sends other content under the newest version, as two concurrent operators may. */
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
    call(control, version, new RelayCommand.PutConfiguration(configuration, document));
  }

  /**
   * Evacuates or restores an availability zone by turns, unless the last command for that zone may
   * still be pending.
   */
  void orderOnZone(String control, String zone) {
    Order before = orders.get(zone);
    if (before != null && network.now().isBefore(before.sentAt.plusMillis(2 * CALL_MILLIS))) {
      return;
    }
    boolean evacuates = before == null || !before.evacuates;
    orders.put(zone, new Order(lastCall + 1, evacuates, network.now()));
    call(
        control,
        null,
        evacuates ? new RelayCommand.EvacuateZone(zone) : new RelayCommand.TakeZoneBack(zone));
  }

  private void onOrderReply(long call, CommandResult result) {
    for (Order order : orders.values()) {
      if (order.call == call && result instanceof CommandResult.Done) {
        order.acceptedAt = network.now();
        ordersAccepted++;
      }
    }
  }

  /** Checks that an entry that may serve has applied each accepted order within the bound. */
  private void checkOrders(String name, RelayEntryPart part) {
    for (Map.Entry<String, Order> zone : orders.entrySet()) {
      Order order = zone.getValue();
      boolean isDue = network.now().isAfter(order.acceptedAt.plus(KEY_BOUND));
      boolean serves = part.configured() && part.proven(network.timeOf(name));
      if (isDue && serves && part.evacuatedZones().contains(zone.getKey()) != order.evacuates) {
        throw new AssertionError(name + " missed the order on " + zone.getKey());
      }
    }
  }

  /** Orders a roll-out as an operator. */
  void beginRollOut(String control, String target, long deadlineMillis) {
    call(control, null, new RelayCommand.BeginRollOut("service", target, deadlineMillis));
  }

  /** Reads the configuration as an operator. */
  void read(String control) {
    call(control, null, new RelayCommand.ReadConfiguration());
  }

  private void call(String control, @Nullable Long version, RelayCommand command) {
    lastCall++;
    calls.put(lastCall, new Call(version, acceptedVersion));
    network.inject(control, new RelayEvent.CommandAsked(lastCall, command, CALL_MILLIS));
  }

  private void onEffect(String node, Effect effect) {
    if (effect instanceof RelayEffect.ReplyToCall reply) {
      Call call = calls.remove(reply.callId());
      if (call != null && reply.result() != null) {
        onOrderReply(reply.callId(), reply.result());
      }
      if (call != null && reply.result() instanceof RelayResult.ConfigurationAccepted acceptance) {
        accepted(call, acceptance);
      } else if (call != null && reply.result() instanceof RelayResult.ConfigurationRead read) {
        checkRead(call, read);
      }
    }
  }

  private void accepted(Call call, RelayResult.ConfigurationAccepted acceptance) {
    if (call.version() == null || acceptance.version() < call.version()) {
      throw new AssertionError(call + " was accepted as " + acceptance);
    }
    accepted++;
    if (call.version() > acceptedVersion) {
      acceptedVersion = call.version();
      acceptedAt = network.now();
    }
  }

  private void checkRead(Call call, RelayResult.ConfigurationRead read) {
    reads++;
    if (read.version() < call.acceptedBefore()) {
      throw new AssertionError(read.version() + " was read after " + call);
    }
    String text = new String(read.document(), StandardCharsets.UTF_8);
    if (read.version() > 0) {
      checkSameContent(read.version(), text.substring(text.indexOf(' ') + 1));
    }
  }

  private void checkSameContent(long version, String key) {
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
    RelayConfiguration current = part.table().configuration();
    Long before = versions.put(name, current.version());
    if (before != null && current.version() < before) {
      throw new AssertionError(name + " reverted from " + before + " to " + current.version());
    }
    if (before == null || current.version() != before) {
      current.teams().forEach(team -> checkSameContent(current.version(), team.keys().get(0)));
    }
    boolean isOutdated = current.version() < acceptedVersion;
    boolean isOverdue = network.now().isAfter(acceptedAt.plus(KEY_BOUND));
    if (isOutdated && isOverdue && part.configured() && part.proven(network.timeOf(name))) {
      throw new AssertionError(
          name
              + " accepts keys of version "
              + current.version()
              + " though "
              + acceptedVersion
              + " was accepted at "
              + acceptedAt);
    }
  }

  RelayEntryPart entryPart(String name) {
    return entryParts.get(name);
  }

  /** Returns what the present process of an entry counts. */
  VersionStatistics statistics(String name) {
    return statistics.get(name);
  }

  /** Returns the running control VM that most of the others consider the leader, or null. */
  @Nullable String leaderOfMajority() {
    Map<String, Integer> votes = new HashMap<>();
    for (String name : runningControls()) {
      String leader = groups.get(name).status(GroupId.RELAY).leader();
      if (leader != null && votes.merge(leader, 1, Integer::sum) > voters / 2) {
        return leader;
      }
    }
    return null;
  }

  /** Returns the replicated state as a control VM has applied it. */
  RelayMachine machine(String control) {
    return machines.get(control);
  }

  /** Returns the control VMs that run and are not frozen. */
  List<String> runningControls() {
    return controls.stream()
        .filter(name -> network.isUp(name) && !network.isSuspended(name))
        .toList();
  }

  /** Runs until all voters have recovered; returns whether they have. */
  boolean runUntilRepaired() {
    return network.runUntil(Duration.ofSeconds(40), this::hasRecovered);
  }

  private boolean hasRecovered() {
    for (String name : runningControls()) {
      GroupStatus status = groups.get(name).status(GroupId.RELAY);
      if (name.equals(status.leader())) {
        List<Member> votingMembers = status.members().voters();
        // An uncommitted change of members can still be lost with its leader's disk.
        return status.commitIndex() > 0
            && status.commitIndex() == status.lastIndex()
            && votingMembers.size() == voters
            && votingMembers.stream()
                .allMatch(voter -> hasCommitted(voter.node(), status.commitIndex()));
      }
    }
    return false;
  }

  /** Returns whether a daemon runs and knows the commit index; a wiped one does not know it yet. */
  private boolean hasCommitted(String name, long commitIndex) {
    return network.isUp(name)
        && groups.get(name).status(GroupId.RELAY).commitIndex() >= commitIndex;
  }

  /** Checks that a change is accepted and reaches every entry after all faults have ended. */
  void assertAcceptsChanges() {
    long target = lastVersion + 1;
    lastVersion = target;
    boolean isAccepted = false;
    for (int tries = 0; tries < 20 && !isAccepted; tries++) {
      List<String> running = runningControls();
      send(running.get(network.random().nextInt(running.size())), target);
      isAccepted = network.runUntil(Duration.ofSeconds(2), () -> acceptedVersion >= target);
    }
    if (!isAccepted) {
      throw new AssertionError("no change was accepted " + describeGroups());
    }
    boolean known = network.runUntil(Duration.ofSeconds(4), () -> everyEntryHasVersion(target));
    if (!known) {
      throw new AssertionError(
          target + " did not reach every entry " + versions + describeGroups());
    }
  }

  private boolean everyEntryHasVersion(long version) {
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
}
