package org.skylarkfork.core.order;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.Reducer;
import org.skylarkfork.core.command.Command;
import org.skylarkfork.core.command.CommandResult;
import org.skylarkfork.core.command.GroupId;
import org.skylarkfork.core.configuration.Configuration;
import org.skylarkfork.core.configuration.ConfigurationView;
import org.skylarkfork.core.configuration.ModelVersion;
import org.skylarkfork.core.configuration.RollOut;
import org.skylarkfork.core.configuration.Team;
import org.skylarkfork.core.configuration.VersionPolicy;
import org.skylarkfork.core.consensus.Submitter;
import org.skylarkfork.core.effect.Effect;
import org.skylarkfork.core.effect.UpstreamEffect.SendOrder;
import org.skylarkfork.core.event.ConsensusEvent;
import org.skylarkfork.core.event.Event;
import org.skylarkfork.core.event.LifecycleEvent.Tick;
import org.skylarkfork.core.event.UpstreamEvent.OrderAnswered;
import org.skylarkfork.core.event.UpstreamEvent.OrderOutcome;
import org.skylarkfork.core.upstream.Announcement;
import org.skylarkfork.core.upstream.LoadReport;
import org.skylarkfork.core.upstream.LoadedModel;
import org.skylarkfork.core.upstream.UpstreamDirectory;
import org.skylarkfork.core.upstream.UpstreamKind;

/**
 * Simulates candidates for the lease, the group as one replica, and engines that execute orders.
 */
final class OrderFixture {

  static final ModelVersion OLD = new ModelVersion("ruling", "1");
  static final ModelVersion NEW = new ModelVersion("ruling", "2");
  static final OrderSettings SETTINGS =
      new OrderSettings(
          Duration.ofSeconds(10),
          Duration.ofSeconds(3),
          0.01,
          Duration.ofSeconds(30),
          Duration.ofSeconds(60),
          Duration.ofSeconds(60),
          Duration.ofSeconds(60),
          Duration.ofMinutes(3),
          2,
          4,
          WeightBudget.DEFAULT);
  private static final Instant START = Instant.parse("2026-12-02T08:00:00Z");

  final OrderMachine machine = new OrderMachine();
  final Map<String, Engine> engines = new LinkedHashMap<>();
  final List<Holder> holders = new ArrayList<>();
  final List<Received> received = new ArrayList<>();
  final List<Sent> sent = new ArrayList<>();
  final List<Runnable> delayedOrders = new ArrayList<>();
  List<Team> teams = List.of();
  RollOut rollOut = rollOut(RollOut.State.RUNNING, 0);
  Duration elapsed = Duration.ZERO;
  Duration leaderClockOffset = Duration.ZERO;
  boolean delayOrders;
  private long index;

  static RollOut rollOut(RollOut.State state, int step) {
    List<RollOut.Step> steps = new ArrayList<>();
    for (int percent : new int[] {10, 50, 100}) {
      steps.add(new RollOut.Step(percent, List.of(), List.of()));
    }
    return new RollOut("ruling", "1", "2", steps, step, state);
  }

  record Received(Duration at, String holder, SendOrder order, boolean isCarriedOut) {}

  record Sent(Duration at, String holder) {}

  Holder start(String name) {
    Holder holder = new Holder(name);
    holders.add(holder);
    return holder;
  }

  void addEngines(int number, boolean checksFencing) {
    for (int i = 0; i < number; i++) {
      String id = "engine-" + (engines.size() + 1);
      engines.put(id, new Engine(id, "zone-" + i % 3, checksFencing));
    }
  }

  void run(Duration duration) {
    Duration end = elapsed.plus(duration);
    while (elapsed.compareTo(end) < 0) {
      elapsed = elapsed.plus(Reducer.TICK);
      new ArrayList<>(holders).forEach(holder -> holder.apply(new Tick()));
    }
  }

  long loaded(ModelVersion version) {
    return engines.values().stream().filter(engine -> engine.loaded.contains(version)).count();
  }

  final class Engine {
    final String id;
    final String zone;
    final boolean checksFencing;
    final Set<ModelVersion> loaded = new HashSet<>(Set.of(OLD));
    private long newestNumber;

    Engine(String id, String zone, boolean checksFencing) {
      this.id = id;
      this.zone = zone;
      this.checksFencing = checksFencing;
    }

    private OrderOutcome execute(String holder, SendOrder order) {
      boolean isStale = checksFencing && order.fencingNumber() < newestNumber;
      newestNumber = Math.max(newestNumber, order.fencingNumber());
      received.add(new Received(elapsed, holder, order, !isStale));
      if (isStale) {
        return OrderOutcome.STALE;
      }
      if (order.kind().equals("load")) {
        loaded.add(order.version());
      } else {
        loaded.remove(order.version());
      }
      return OrderOutcome.DONE;
    }

    private Announcement announcement() {
      List<LoadedModel> models =
          loaded.stream()
              .sorted()
              .map(version -> new LoadedModel(version.model(), version.version(), List.of()))
              .toList();
      return new Announcement(
          id,
          1,
          "127.0.0.1",
          1,
          zone,
          UpstreamKind.ENGINE,
          null,
          models,
          "mixed",
          8,
          LoadReport.IDLE,
          checksFencing,
          false,
          false,
          List.of());
    }
  }

  /** Simulates a process that may hold the lease, with its own clock. */
  final class Holder implements Submitter, ConfigurationView, UpstreamDirectory {
    final String name;
    final OrderPart part;
    Duration clockOffset = Duration.ZERO;
    boolean isPartitioned;
    private final Reducer reducer;
    private long lastId;
    private long syncedIndex;

    Holder(String name) {
      this.name = name;
      OrderMachine replica = new OrderMachine();
      part = new OrderPart(SETTINGS, name, replica, this, this, this);
      reducer = new Reducer(List.of((event, at, output) -> syncReplica(replica), part));
    }

    private void syncReplica(OrderMachine replica) {
      if (!isPartitioned && syncedIndex != index) {
        syncedIndex = index;
        replica.restore(machine.snapshot());
      }
    }

    void apply(Event event) {
      for (Effect effect : reducer.apply(event, START.plus(elapsed).plus(clockOffset))) {
        if (effect instanceof SendOrder order) {
          sent.add(new Sent(elapsed, name));
          delayedOrders.add(() -> deliver(order));
        }
      }
      if (!delayOrders) {
        List<Runnable> due = new ArrayList<>(delayedOrders);
        delayedOrders.clear();
        due.forEach(Runnable::run);
      }
    }

    private void deliver(SendOrder order) {
      OrderOutcome outcome = engines.get(order.upstream()).execute(name, order);
      if (holders.contains(this)) {
        apply(new OrderAnswered(order.orderId(), outcome, null, ""));
      }
    }

    @Override
    public long newSubmissionId() {
      lastId++;
      return lastId;
    }

    @Override
    public void submit(
        GroupId group, Command command, long id, Instant deadline, Instant at, Output output) {
      if (isPartitioned) {
        output.raise(new ConsensusEvent.SubmissionFailed(group, id, true, "partitioned"));
        return;
      }
      index++;
      Instant stampedAt = START.plus(elapsed).plus(leaderClockOffset);
      CommandResult result = machine.apply(index, stampedAt, command);
      output.raise(new ConsensusEvent.SubmissionAnswered(group, id, result));
    }

    @Override
    public Configuration current() {
      return new Configuration(
          1,
          teams,
          List.of(),
          List.of(),
          List.of(),
          List.of(rollOut),
          List.of(),
          List.of(),
          List.of(),
          List.of(),
          VersionPolicy.DEFAULT,
          List.of());
    }

    @Override
    public boolean mayServe(Instant at) {
      return true;
    }

    @Override
    public Optional<Team> teamByKeyHash(String sha256) {
      return Optional.empty();
    }

    @Override
    public List<Announcement> engines(ModelVersion version, Instant at) {
      return all();
    }

    @Override
    public List<Announcement> services(String service, Instant at) {
      return List.of();
    }

    @Override
    public Optional<Announcement> find(String id) {
      return Optional.ofNullable(engines.get(id)).map(Engine::announcement);
    }

    @Override
    public List<Announcement> all() {
      return engines.values().stream().map(Engine::announcement).toList();
    }
  }
}
