package org.skylarkfork.core.configuration;

import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.Reducer;
import org.skylarkfork.core.command.Command;
import org.skylarkfork.core.command.CommandResult;
import org.skylarkfork.core.command.ConfigurationCommand.SubmitChange;
import org.skylarkfork.core.command.GroupId;
import org.skylarkfork.core.consensus.Submitter;
import org.skylarkfork.core.effect.Effect;
import org.skylarkfork.core.effect.OperatorEffect;
import org.skylarkfork.core.effect.OperatorEffect.SendInForce;
import org.skylarkfork.core.effect.PeerEffect.SendToPeer;
import org.skylarkfork.core.event.ConsensusEvent;
import org.skylarkfork.core.event.Event;
import org.skylarkfork.core.event.LifecycleEvent;
import org.skylarkfork.core.event.OperatorEvent;
import org.skylarkfork.core.event.PeerEvent;
import org.skylarkfork.core.message.PeerMessage;

/** Several configuration parts with seeded delivery, and a log that stands in for the group. */
final class SimulatedDaemons {

  static final ConfigurationSettings SETTINGS =
      ConfigurationSettings.defaults(Samples.hash("first"));
  static final List<String> VOTERS = List.of("v1", "v2", "v3");

  final Map<String, Daemon> byName = new TreeMap<>();
  final Set<String> isolated = new HashSet<>();
  final UniformRandomProvider random;
  Predicate<PeerMessage> dropped = message -> false;
  double lossRate;
  List<String> configuredVoters = VOTERS;
  Instant time = Samples.START;
  long inForce;
  long messages;
  private final List<LogRecord> log = new ArrayList<>();
  private final List<InFlight> inFlight = new ArrayList<>();
  private @Nullable String leader;
  private long term;
  private long submissions;

  private record LogRecord(Instant stampedAt, SubmitChange command) {}

  private record InFlight(Instant at, String from, String to, PeerMessage message) {}

  SimulatedDaemons(long seed, int entries) {
    random = RandomSource.XO_SHI_RO_256_PP.create(seed);
    VOTERS.forEach(name -> byName.put(name, new Daemon(name, true)));
    for (int number = 0; number < entries; number++) {
      String name = "e" + (10 + number);
      byName.put(name, new Daemon(name, false));
    }
    lead("v1");
  }

  /** One daemon with a clock of its own. */
  final class Daemon implements Submitter {
    final String name;
    final boolean voter;
    final List<OperatorEffect> answers = new ArrayList<>();
    double clockRate = 1;
    boolean logDelayed;
    ConfigurationMachine machine = new ConfigurationMachine();
    ConfigurationPart part;
    private Reducer reducer;
    private int logApplied;
    private long highestRevision;

    Daemon(String name, boolean voter) {
      this.name = name;
      this.voter = voter;
      restart();
    }

    /** Starts an empty process; a voter has its log, which it applies again. */
    void restart() {
      machine = new ConfigurationMachine();
      logApplied = 0;
      highestRevision = 0;
      LocalReplica replica = voter ? new LocalReplica(machine, now -> name.equals(leader)) : null;
      List<String> named = configuredVoters;
      ZoneTree tree = new ZoneTree(name, () -> named, () -> List.copyOf(byName.keySet()));
      part = new ConfigurationPart(name, SETTINGS, tree, named, this, replica);
      reducer = new Reducer(List.of(part));
    }

    Instant clock() {
      long nanos = Duration.between(Samples.START, time).toNanos();
      return Samples.START.plusNanos((long) (nanos * clockRate));
    }

    boolean serves() {
      return part.mayServe(clock());
    }

    long revision() {
      return part.current().revision();
    }

    void apply(Event event) {
      for (Effect effect : reducer.apply(event, clock())) {
        if (effect instanceof SendToPeer send) {
          send(name, send.node(), send.message());
        } else if (effect instanceof OperatorEffect answer) {
          answers.add(answer);
        }
      }
      assertTrue(revision() >= highestRevision, name + " went back");
      highestRevision = revision();
    }

    /** Applies the log as far as it is committed, as the replica would. */
    void catchUp() {
      while (logApplied < log.size()) {
        LogRecord entry = log.get(logApplied++);
        CommandResult result = machine.apply(logApplied, entry.stampedAt(), entry.command());
        apply(
            new ConsensusEvent.CommandCommitted(
                GroupId.CONFIGURATION, logApplied, entry.stampedAt(), entry.command(), result));
      }
    }

    @Nullable OperatorEffect query(OperatorEvent call) {
      int before = answers.size();
      apply(call);
      return answers.size() > before ? answers.get(answers.size() - 1) : null;
    }

    @Override
    public long newSubmissionId() {
      return ++submissions;
    }

    @Override
    public void submit(
        GroupId group, Command command, long id, Instant deadline, Instant now, Output output) {
      if (leader == null || isolated.contains(name)) {
        output.raise(new ConsensusEvent.SubmissionFailed(group, id, true, "no leader"));
        return;
      }
      Daemon leading = byName.get(leader);
      LogRecord entry = new LogRecord(leading.clock(), (SubmitChange) command);
      log.add(entry);
      ConfigurationMachine trial = new ConfigurationMachine();
      trial.restore(leading.machine.snapshot());
      CommandResult result = trial.apply(log.size(), entry.stampedAt(), command);
      output.raise(new ConsensusEvent.SubmissionAnswered(group, id, result));
    }
  }

  /** Gives the leadership to a voter, or to none. */
  void lead(@Nullable String name) {
    leader = name;
    term++;
    if (name != null) {
      byName.get(name).catchUp();
    }
    for (String voter : VOTERS) {
      if (!isolated.contains(voter)) {
        byName
            .get(voter)
            .apply(new ConsensusEvent.LeaderChanged(GroupId.CONFIGURATION, name, term));
      }
    }
  }

  @Nullable String leader() {
    return leader;
  }

  void change(String changeId, ConfigurationChange change) {
    Daemon leading = byName.get(leader);
    log.add(new LogRecord(leading.clock(), Samples.submit(changeId, "anna", null, change)));
    leading.catchUp();
  }

  private void send(String from, String to, PeerMessage message) {
    messages++;
    if (dropped.test(message) || random.nextDouble() < lossRate) {
      return;
    }
    inFlight.add(new InFlight(time.plusMillis(1 + random.nextInt(15)), from, to, message));
    if (lossRate > 0 && random.nextInt(10) == 0) {
      inFlight.add(new InFlight(time.plusMillis(random.nextInt(3000)), from, to, message));
    }
  }

  void run(Duration duration) {
    Instant end = time.plus(duration);
    while (time.isBefore(end)) {
      time = time.plus(Reducer.TICK);
      deliver();
      for (Daemon daemon : byName.values()) {
        boolean replays = daemon.voter && !daemon.logDelayed && random.nextInt(8) == 0;
        if (replays && !isolated.contains(daemon.name)) {
          daemon.catchUp();
        }
        daemon.apply(new LifecycleEvent.Tick());
      }
      checkInvariants();
    }
  }

  private void deliver() {
    List<InFlight> due = new ArrayList<>(inFlight);
    due.removeIf(message -> message.at().isAfter(time));
    inFlight.removeAll(due);
    for (InFlight message : due) {
      if (!isolated.contains(message.from()) && !isolated.contains(message.to())) {
        byName
            .get(message.to())
            .apply(new PeerEvent.MessageReceived(message.from(), message.message()));
      }
    }
  }

  /** Asks the leader what is in force, and holds every daemon that serves to its answer. */
  private void checkInvariants() {
    if (leader != null) {
      SendInForce status = status(byName.get(leader).machine.configuration().revision());
      if (status != null && status.inForce()) {
        inForce = Math.max(inForce, status.revision());
      }
    }
    for (Daemon daemon : byName.values()) {
      assertTrue(
          !daemon.serves() || daemon.revision() >= inForce,
          daemon.name + " serves at " + daemon.revision() + " while " + inForce + " is in force");
    }
  }

  @Nullable SendInForce status(long revision) {
    OperatorEffect answer =
        byName
            .get(leader)
            .query(new OperatorEvent.InForceRequested("q", Samples.hash("anna"), revision));
    return answer instanceof SendInForce status ? status : null;
  }

  /** Runs until a revision is in force; returns how long it took, or fails after a minute. */
  Duration awaitInForce(long revision) {
    Instant start = time;
    while (inForce < revision) {
      run(Reducer.TICK);
      assertTrue(time.isBefore(start.plusSeconds(60)), "revision " + revision + " is not in force");
    }
    return Duration.between(start, time);
  }
}
