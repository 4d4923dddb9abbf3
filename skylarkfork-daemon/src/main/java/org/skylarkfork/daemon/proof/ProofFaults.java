package org.skylarkfork.daemon.proof;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.skylarkfork.core.configuration.ConfigurationChange;
import org.skylarkfork.core.configuration.ModelVersion;
import org.skylarkfork.core.configuration.RollOut;
import org.skylarkfork.core.configuration.VersionPolicy;
import org.skylarkfork.daemon.ExampleConfiguration;
import org.skylarkfork.standin.fault.Fault;
import org.skylarkfork.standin.fault.FaultKind;

/** Carries the disturbances out and notes what the checker must know of them. */
final class ProofFaults {

  private static final Duration HOLD = Duration.ofMillis(1500);
  private static final Duration STOP_LIMIT = Duration.ofSeconds(90);
  private static final Duration LEAVE_TIME = TimelineChecks.LEAVING_LIMIT.plusSeconds(3);
  private static final double STRUCK_SHARE = 0.4;
  private static final long LATE_MILLIS = 1500;
  private static final double FIRST_ALARM_RATE = 0.01;
  private static final double ALARM_RATE_STEP = 1e-6;
  private static final List<FaultKind> UPSTREAM_FAULTS =
      List.of(
          FaultKind.CUT_STREAM,
          FaultKind.CROSSED_ANSWERS,
          FaultKind.LATE_ANSWERS,
          FaultKind.BAD_ANSWERS,
          FaultKind.FULL,
          FaultKind.SILENCE);

  private final ProofCluster cluster;
  private final ProofUpstreams upstreams;
  private final ProofOperator operator;
  private final UniformRandomProvider random;
  private final List<ProofEvidence.Bar> bars = new ArrayList<>();
  private final List<ProofEvidence.Leaving> leavings = new ArrayList<>();
  private final List<ProofEvidence.PlannedStop> stops = new ArrayList<>();
  private final Map<Long, Instant> inForce = new HashMap<>();
  private final List<String> unrecovered = new ArrayList<>();
  private boolean crashes;
  private int alarmRates;

  ProofFaults(
      ProofCluster cluster,
      ProofUpstreams upstreams,
      ProofOperator operator,
      UniformRandomProvider random) {
    this.cluster = cluster;
    this.upstreams = upstreams;
    this.operator = operator;
    this.random = random;
  }

  List<ProofEvidence.Bar> bars() {
    return bars;
  }

  List<ProofEvidence.Leaving> leavings() {
    return leavings;
  }

  List<ProofEvidence.PlannedStop> stops() {
    return stops;
  }

  Map<Long, Instant> inForce() {
    return inForce;
  }

  List<String> unrecovered() {
    return unrecovered;
  }

  boolean crashes() {
    return crashes;
  }

  /** Carries a disturbance out and waits until the system serves again. */
  void carryOut(FaultName name) throws InterruptedException {
    try {
      disturb(name);
      if (!cluster.awaitReady(upstreams.count())) {
        unrecovered.add(name + ": not all daemons served again within a minute");
      }
    } catch (IllegalStateException stuck) {
      unrecovered.add(name + ": " + stuck.getMessage());
    }
  }

  private void disturb(FaultName name) throws InterruptedException {
    switch (name) {
      case CRASH_ENTRY -> crash(pick(cluster.entries()));
      case CRASH_LEADER -> crash(cluster.awaitLeader());
      case WIPE_VOTER -> wipeVoter();
      case CUT_LEADER -> cutLeader();
      case RESTART_ALL -> restartAll();
      case RACE -> race(cluster.daemons().get(0), cluster.daemons().get(1));
      case WITHDRAW -> withdraw();
      case DRAIN -> drain();
      case ROLL_OUT -> rollOut();
      case STOP_ENTRY -> stopEntry();
      case LEAVE -> leave();
      default -> upstreamFault();
    }
  }

  private <T> T pick(List<T> from) {
    return from.get(random.nextInt(from.size()));
  }

  private static void hold() throws InterruptedException {
    TimeUnit.MILLISECONDS.sleep(HOLD.toMillis());
  }

  private void crash(ProofDaemon daemon) throws InterruptedException {
    crashes = true;
    daemon.crash();
    hold();
    cluster.awaitLeader();
    daemon.start();
  }

  private void wipeVoter() throws InterruptedException {
    crashes = true;
    ProofDaemon wiped = pick(cluster.voters());
    wiped.crash();
    wiped.wipe();
    cluster.awaitLeader();
    wiped.start();
    boolean repaired = cluster.await(() -> wiped.ready() && votes(wiped));
    if (!repaired) {
      throw new IllegalStateException(wiped.name() + " was not a voter again within a minute");
    }
    List<ProofDaemon> others = cluster.voters().stream().filter(voter -> voter != wiped).toList();
    ProofDaemon second = pick(others);
    second.crash();
    cluster.awaitLeader();
    operator.accept(newPolicy());
    second.start();
  }

  /** Returns whether every group's leader counts the daemon among its voters. */
  private boolean votes(ProofDaemon daemon) {
    try {
      JsonNode own = operator.view(daemon, "groups");
      return own != null && !own.isEmpty() && allVote(own, daemon.name());
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  private static boolean allVote(JsonNode groups, String node) {
    for (JsonNode group : groups) {
      boolean votes = false;
      for (JsonNode voter : group.path("members").path("voters")) {
        votes |= voter.path("node").asText().equals(node);
      }
      if (!votes || group.path("leader").asText("").isEmpty()) {
        return false;
      }
    }
    return true;
  }

  private void cutLeader() throws InterruptedException {
    crashes = true;
    ProofDaemon cut = cluster.awaitLeader();
    cluster.isolate(cut);
    List<ProofDaemon> others = cluster.voters().stream().filter(voter -> voter != cut).toList();
    race(cut, pick(others));
    cluster.await(() -> others.stream().anyMatch(ProofDaemon::leads));
    race(pick(others), cut);
    operator.accept(newPolicy());
    cut.heal();
  }

  private void restartAll() throws InterruptedException {
    crashes = true;
    cluster.daemons().forEach(ProofDaemon::crash);
    cluster.daemons().forEach(ProofDaemon::start);
    cluster.awaitLeader();
  }

  /** Two operators hold the same revision; each sends its change twice, one at each daemon. */
  private void race(ProofDaemon one, ProofDaemon other) throws InterruptedException {
    long revision = operator.revision();
    if (revision == 0) {
      return;
    }
    ConfigurationChange first = newPolicy();
    ConfigurationChange second = newPolicy();
    String firstId = operator.newId();
    String secondId = operator.newId();
    CompletableFuture<Void> raced =
        CompletableFuture.runAsync(() -> sendTwice(one, other, firstId, first, revision));
    sendTwice(other, one, secondId, second, revision);
    raced.join();
  }

  private void sendTwice(
      ProofDaemon one, ProofDaemon other, String id, ConfigurationChange change, long revision) {
    try {
      operator.send(one, id, change, revision);
      operator.send(other, id, change, revision);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  private synchronized ConfigurationChange newPolicy() {
    alarmRates++;
    double rate = FIRST_ALARM_RATE + alarmRates * ALARM_RATE_STEP;
    return new ConfigurationChange.PutVersionPolicy(new VersionPolicy(false, rate, 0.05));
  }

  private void withdraw() throws InterruptedException {
    String current = currentVersion();
    String other = current.equals("1") ? "2" : "1";
    ModelVersion version = new ModelVersion(ExampleConfiguration.LARGE, current);
    bar(
        version.toString(),
        true,
        new ConfigurationChange.WithdrawVersion(version, other),
        new ConfigurationChange.ReinstateVersion(version));
  }

  private String currentVersion() throws InterruptedException {
    JsonNode configuration = operator.view("configuration");
    if (configuration != null) {
      for (JsonNode model : configuration.path("models")) {
        if (model.path("name").asText().equals(ExampleConfiguration.LARGE)) {
          return model.path("current").asText();
        }
      }
    }
    throw new IllegalStateException("nobody told the present configuration");
  }

  private void drain() throws InterruptedException {
    String upstream = pick(upstreams.ids());
    bar(
        upstream,
        false,
        new ConfigurationChange.DrainUpstream(upstream),
        new ConfigurationChange.UndrainUpstream(upstream));
  }

  private void bar(
      String name, boolean version, ConfigurationChange barring, ConfigurationChange back)
      throws InterruptedException {
    OperatorAnswer barred = operator.accept(barring);
    awaitInForce(barred.revision());
    hold();
    Instant sent = Instant.now();
    OperatorAnswer freed = operator.accept(back);
    bars.add(new ProofEvidence.Bar(name, version, barred.changeId(), freed.changeId(), sent));
  }

  private void awaitInForce(long revision) throws InterruptedException {
    boolean reached =
        cluster.await(
            () -> {
              try {
                return operator.inForce(revision);
              } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
                return false;
              }
            });
    if (!reached) {
      throw new IllegalStateException("revision " + revision + " was not in force in a minute");
    }
    inForce.put(revision, Instant.now());
  }

  private void rollOut() throws InterruptedException {
    String from = currentVersion();
    String to = from.equals("1") ? "2" : "1";
    String model = ExampleConfiguration.LARGE;
    List<RollOut.Step> steps =
        List.of(
            new RollOut.Step(20, List.of(), List.of()), new RollOut.Step(60, List.of(), List.of()));
    operator.accept(new ConfigurationChange.StartRollOut(model, from, to, steps));
    hold();
    operator.accept(new ConfigurationChange.AdvanceRollOut(model, 1));
    hold();
    operator.accept(
        random.nextBoolean()
            ? new ConfigurationChange.AbortRollOut(model)
            : new ConfigurationChange.AdvanceRollOut(model, steps.size()));
  }

  private void stopEntry() throws InterruptedException {
    ProofDaemon entry = pick(cluster.entries());
    Instant from = Instant.now();
    boolean whole = entry.stop(STOP_LIMIT);
    stops.add(new ProofEvidence.PlannedStop(entry.name(), from, Instant.now(), whole));
    entry.start();
  }

  private void leave() throws InterruptedException {
    String upstream = pick(upstreams.ids());
    final Instant from = Instant.now();
    upstreams.fault(upstream, Fault.of(FaultKind.LEAVING));
    TimeUnit.MILLISECONDS.sleep(LEAVE_TIME.toMillis());
    Instant until = Instant.now();
    upstreams.fault(upstream, Fault.of(FaultKind.NONE));
    leavings.add(new ProofEvidence.Leaving(upstream, from, until));
  }

  private void upstreamFault() throws InterruptedException {
    String upstream = pick(upstreams.ids());
    FaultKind kind = pick(UPSTREAM_FAULTS);
    upstreams.fault(upstream, new Fault(kind, null, STRUCK_SHARE, LATE_MILLIS));
    hold();
    upstreams.fault(upstream, Fault.of(FaultKind.NONE));
  }
}
