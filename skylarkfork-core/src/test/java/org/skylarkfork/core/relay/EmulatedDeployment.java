package org.skylarkfork.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.BooleanSupplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.Part;
import org.skylarkfork.core.Reducer;
import org.skylarkfork.core.command.GroupId;
import org.skylarkfork.core.command.RelayCommand;
import org.skylarkfork.core.consensus.ConsensusPart;
import org.skylarkfork.core.consensus.GroupSetup;
import org.skylarkfork.core.consensus.GroupStatus;
import org.skylarkfork.core.consensus.MembershipChangePolicy;
import org.skylarkfork.core.effect.Effect;
import org.skylarkfork.core.event.Event;
import org.skylarkfork.core.event.RelayEvent;
import org.skylarkfork.core.overload.OverloadSettings;
import org.skylarkfork.core.rollout.RollOutSettings;
import org.skylarkfork.core.testing.SimulatedNetwork;

/** Three control VMs and some entries in virtual time; subclasses emulate their surroundings. */
abstract class EmulatedDeployment {

  /** Time after which every connected entry has received what the others know. */
  static final Duration SETTLE_TIME = Duration.ofSeconds(3);

  static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
  private static final Duration HEARTBEAT = Duration.ofMillis(1200);
  private static final int CONTROLS = 3;
  private static final long CALL_MILLIS = 4000;

  final SimulatedNetwork network;
  final List<String> controls = new ArrayList<>();
  final List<String> entries = new ArrayList<>();
  final UniformRandomProvider random;

  /** The current run's view of each entry, by peer name. */
  final Map<String, RelayEntryPart> entryParts = new HashMap<>();

  private final InMemorySnapshotCodec codec = new InMemorySnapshotCodec();
  private final Map<String, ConsensusPart> groups = new HashMap<>();
  private final Map<String, Integer> starts = new HashMap<>();
  private final Map<String, Instant> disturbedAt = new HashMap<>();
  private final PriorityQueue<ScheduledAction> scheduledActions =
      new PriorityQueue<>(
          Comparator.comparing(ScheduledAction::at).thenComparing(ScheduledAction::order));
  private Instant controlDisturbedAt = START;
  private long order;

  /** An action to run at a time. */
  private record ScheduledAction(Instant at, long order, Runnable action) {}

  /**
   * Creates and starts control VMs and entries.
   *
   * @param seed seed of all random numbers
   * @param entryCount number of entries
   */
  EmulatedDeployment(long seed, int entryCount) {
    this.network = new SimulatedNetwork(seed);
    this.random = RandomSource.XO_SHI_RO_256_PP.create(seed);
    network.setEffectListener(this::onEffect);
    for (int number = 1; number <= CONTROLS; number++) {
      controls.add("control-" + number);
    }
    for (String name : controls) {
      network.add(name, List.of(GroupId.RELAY), start -> bootControl(name, start));
      network.start(name);
    }
    for (int number = 1; number <= entryCount; number++) {
      String name = "entry-" + number;
      entries.add(name);
      network.add(name, List.of(), start -> bootEntry(name, start));
      network.start(name);
    }
  }

  /** Handles an effect that is neither for peers nor for disks. */
  abstract void onEffect(String node, Effect effect);

  /**
   * Returns the parts of an entry.
   *
   * @param name peer name of the entry
   * @param entry the entry's view of the deployment
   * @param requests handles the entry's requests
   * @param seed seed of random choices
   */
  abstract List<Part> parts(
      String name, RelayEntryPart entry, RelayRequestPart requests, long seed);

  private Reducer bootControl(String name, long seed) {
    boolean first = starts.merge(name, 1, Integer::sum) == 1;
    RelayMachine machine = new RelayMachine();
    MembershipChangePolicy growth =
        new MembershipChangePolicy(first, CONTROLS, RelaySimulation.VOTER_TIMEOUT);
    ConsensusPart consensus =
        new ConsensusPart(
            name,
            List.of(new GroupSetup(GroupId.RELAY, controls, growth, machine)),
            RelaySimulation.settings(),
            codec,
            seed);
    groups.put(name, consensus);
    return new Reducer(
        List.of(
            consensus,
            new RelayControlPart(
                name,
                machine,
                consensus,
                RelaySimulation.times(),
                RollOutSettings.DEFAULT,
                OverloadSettings.DEFAULT)));
  }

  private Reducer bootEntry(String name, long seed) {
    VersionStatistics counts = new VersionStatistics();
    EntryIdentity self = new EntryIdentity(name + ":80", "a", starts.merge(name, 1, Integer::sum));
    RelayEntryPart entry = new RelayEntryPart(self, controls, RelaySimulation.times(), counts);
    entryParts.put(name, entry);
    RelayRequestSettings settings = new RelayRequestSettings("a", 0.9, 0.05, Duration.ofSeconds(8));
    RelayRequestPart requests = new RelayRequestPart(entry, settings, counts, seed);
    return new Reducer(parts(name, entry, requests, seed));
  }

  /** Submits a configuration; call it only after there was time to elect a leader. */
  void put(RelayConfiguration configuration) {
    network.inject(
        controls.get(0),
        new RelayEvent.CommandAsked(
            1, new RelayCommand.PutConfiguration(configuration, new byte[0]), CALL_MILLIS));
  }

  /** Advances the virtual time and runs the actions that become due. */
  void run(Duration time) {
    Instant end = network.now().plus(time);
    while (network.now().isBefore(end)) {
      network.run(Duration.ofMillis(1));
      while (!scheduledActions.isEmpty() && !scheduledActions.peek().at().isAfter(network.now())) {
        scheduledActions.remove().action().run();
      }
    }
  }

  /** Schedules an action to run after some time. */
  void schedule(long millis, Runnable action) {
    scheduledActions.add(new ScheduledAction(network.now().plusMillis(millis), order++, action));
  }

  int randomMillis(int millis) {
    return 1 + random.nextInt(millis);
  }

  /**
   * Sends heartbeats of an upstream to random control VMs until it is down.
   *
   * @param upstream the upstream in the heartbeats
   * @param isUp whether the upstream still sends heartbeats
   */
  void announce(UpstreamInstance upstream, BooleanSupplier isUp) {
    heartbeat(upstream, 1, isUp);
  }

  private void heartbeat(UpstreamInstance template, long number, BooleanSupplier isUp) {
    if (!isUp.getAsBoolean()) {
      return;
    }
    List<String> running = controls.stream().filter(this::isAwake).toList();
    if (!running.isEmpty()) {
      network.inject(
          running.get(random.nextInt(running.size())),
          new RelayEvent.HeartbeatReceived(
              new UpstreamInstance(
                  template.id(),
                  template.service(),
                  template.address(),
                  template.zone(),
                  template.version(),
                  template.slots(),
                  number,
                  template.bornMillis())));
    }
    schedule(HEARTBEAT.toMillis(), () -> heartbeat(template, number + 1, isUp));
  }

  boolean isAwake(String name) {
    return network.isUp(name) && !network.isSuspended(name);
  }

  /** Delivers an event to an entry, unless the entry is down or frozen. */
  void inject(String entry, Event event) {
    if (isAwake(entry)) {
      network.inject(entry, event);
    }
  }

  /** Returns a random entry that is neither down nor frozen, or null if there is none. */
  @Nullable String anyEntry() {
    List<String> awake = entries.stream().filter(this::isAwake).toList();
    return awake.isEmpty() ? null : awake.get(random.nextInt(awake.size()));
  }

  /** Returns the leader among the control VMs, or null if there is none. */
  @Nullable String leader() {
    for (String name : controls) {
      GroupStatus status = isAwake(name) ? groups.get(name).status(GroupId.RELAY) : null;
      if (status != null && name.equals(status.leader())) {
        return name;
      }
    }
    return null;
  }

  /** Records a disturbance of a daemon now; disturbances of control VMs affect all entries. */
  void markDisturbed(String name) {
    if (controls.contains(name)) {
      controlDisturbedAt = network.now();
    } else {
      disturbedAt.put(name, network.now());
    }
  }

  /** Returns whether neither an entry nor a control VM was disturbed for {@link #SETTLE_TIME}. */
  boolean isSettled(String entry) {
    return isUndisturbed(entry) && controlDisturbedAt.isBefore(network.now().minus(SETTLE_TIME));
  }

  /** Returns whether the entry itself was not disturbed for {@link #SETTLE_TIME}. */
  boolean isUndisturbed(String entry) {
    Instant since = network.now().minus(SETTLE_TIME);
    return disturbedAt.getOrDefault(entry, START).isBefore(since);
  }
}
