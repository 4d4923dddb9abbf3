package org.skylarkfork.daemon.proof;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.skylarkfork.core.configuration.ConfigurationChange;
import org.skylarkfork.daemon.ExampleConfiguration;
import org.skylarkfork.standin.load.LoadKind;
import org.skylarkfork.standin.load.LoadOutcome;
import org.skylarkfork.standin.load.LoadRecord;
import org.skylarkfork.standin.load.LoadRunner;
import org.skylarkfork.standin.load.LoadSettings;
import org.skylarkfork.standin.rating.RatingSettings;
import org.skylarkfork.standin.rating.StandInRating;

/** One run of the proof: daemons, upstreams, load and faults, and the evidence of them. */
public final class ProofRun {

  private static final Duration DEADLINE = Duration.ofSeconds(30);
  private static final int RESENDS = 8;
  private static final int SESSIONS = 20;
  private static final int STABLE_READS = 10;
  private static final long READ_MILLIS = 200;
  private static final int MOST_READS = 300;
  private static final String SMALL = ExampleConfiguration.SMALL;
  private static final String LARGE = ExampleConfiguration.LARGE;
  private static final Set<String> SMALL_VERSIONS = Set.of(SMALL + ":1", SMALL + ":2");
  private static final Set<String> ALL_VERSIONS =
      Set.of(SMALL + ":1", SMALL + ":2", LARGE + ":1", LARGE + ":2");

  /** The load's teams, in the order of their keys. */
  private static final List<ProofEvidence.TeamFacts> TEAMS =
      List.of(
          new ProofEvidence.TeamFacts("quickstart", ALL_VERSIONS),
          new ProofEvidence.TeamFacts("quickstart-small", SMALL_VERSIONS));

  private final ProofSettings settings;
  private final List<String> broken = new CopyOnWriteArrayList<>();

  /**
   * Makes a run.
   *
   * @param settings what it does
   */
  public ProofRun(ProofSettings settings) {
    this.settings = settings;
  }

  /**
   * Runs it and returns what was seen.
   *
   * @throws IOException if time lines can't be read
   */
  public ProofEvidence run() throws IOException, InterruptedException {
    try (StandInRating rating = new StandInRating(ratings());
        ProofCluster cluster =
            new ProofCluster(settings.folder(), settings.entries(), rating.start(), broken::add)) {
      cluster.start();
      List<String> entries = cluster.daemons().stream().map(ProofDaemon::callers).toList();
      try (ProofUpstreams upstreams = new ProofUpstreams(entries)) {
        upstreams.start();
        return disturbed(cluster, upstreams, entries);
      }
    }
  }

  private static RatingSettings ratings() {
    return RatingSettings.of(
        Map.of(SMALL + ":1", 0.6, SMALL + ":2", 0.7, LARGE + ":1", 0.95, LARGE + ":2", 0.95));
  }

  private ProofEvidence disturbed(
      ProofCluster cluster, ProofUpstreams upstreams, List<String> entries)
      throws IOException, InterruptedException {
    ProofOperator operator = new ProofOperator(cluster.daemons(), "seed-" + settings.seed());
    cluster.awaitLeader();
    OperatorAnswer founded =
        operator.accept(new ConfigurationChange.ReplaceAll(ExampleConfiguration.configuration()));
    if (!cluster.awaitReady(upstreams.count())) {
      throw new IllegalStateException("The daemons were not ready within a minute.");
    }
    UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(settings.seed());
    ProofFaults faults = new ProofFaults(cluster, upstreams, operator, random);
    faults.bars().add(new ProofEvidence.Bar(SMALL + ":1", true, founded.changeId(), null, null));
    CompletableFuture<List<LoadRecord>> load = load(entries);
    final int happened = disturb(faults, random, load);
    final List<LoadRecord> records = load.join();
    final Map<String, Map<LoadKind, Long>> billed = settledBills(cluster, operator, records);
    final Map<String, Long> history = operator.history();
    cluster.close();
    faults.unrecovered().addAll(broken);
    return new ProofEvidence(
        TEAMS,
        records,
        upstreams.runs(records),
        cluster.timelines(),
        operator.answers(),
        history,
        faults.bars(),
        faults.leavings(),
        faults.stops(),
        faults.inForce(),
        billed,
        faults.crashes(),
        faults.unrecovered(),
        happened);
  }

  private CompletableFuture<List<LoadRecord>> load(List<String> entries) {
    int requests = (int) (settings.ratePerSecond() * settings.duration().toMillis() / 1000);
    LoadSettings load =
        new LoadSettings(
            entries,
            List.of(ExampleConfiguration.TEAM_KEY, ExampleConfiguration.SMALL_TEAM_KEY),
            requests,
            settings.ratePerSecond(),
            2,
            1,
            1,
            SESSIONS,
            "auto",
            ExampleConfiguration.LOOKUP,
            ExampleConfiguration.CERTIFICATES,
            DEADLINE,
            RESENDS,
            settings.seed());
    LoadRunner runner = new LoadRunner(load, "proof-" + settings.seed());
    return CompletableFuture.supplyAsync(() -> runner.run(record -> {}));
  }

  /** Carries all faults out in a new order each round. */
  private int disturb(ProofFaults faults, UniformRandomProvider random, CompletableFuture<?> load)
      throws InterruptedException {
    int happened = 0;
    for (int round = 0; !settings.faults().isEmpty() && wanted(round, load); round++) {
      List<FaultName> left = new ArrayList<>(settings.faults());
      while (!left.isEmpty() && wanted(round, load)) {
        faults.carryOut(left.remove(random.nextInt(left.size())));
        happened++;
      }
    }
    return happened;
  }

  private boolean wanted(int round, CompletableFuture<?> load) {
    return settings.rounds() == 0 ? !load.isDone() : round < settings.rounds();
  }

  /** Waits until the ledger shows all whole answers, for a minute at most, and changes no more. */
  private static Map<String, Map<LoadKind, Long>> settledBills(
      ProofCluster cluster, ProofOperator operator, List<LoadRecord> records)
      throws InterruptedException {
    long whole = records.stream().filter(record -> record.outcome() == LoadOutcome.WHOLE).count();
    Map<String, Map<LoadKind, Long>> last = Map.of();
    int equal = 0;
    for (int read = 0; read < MOST_READS && equal < STABLE_READS; read++) {
      TimeUnit.MILLISECONDS.sleep(READ_MILLIS);
      Map<String, Map<LoadKind, Long>> found = bills(cluster, operator);
      long sum =
          found.values().stream()
              .flatMap(kinds -> kinds.values().stream())
              .mapToLong(Long::longValue)
              .sum();
      equal = found.equals(last) && sum >= whole ? equal + 1 : 0;
      last = found;
    }
    return last;
  }

  private static Map<String, Map<LoadKind, Long>> bills(
      ProofCluster cluster, ProofOperator operator) throws InterruptedException {
    Map<String, Map<LoadKind, Long>> billed = new HashMap<>();
    for (ProofEvidence.TeamFacts team : TEAMS) {
      Map<LoadKind, Long> most = new EnumMap<>(LoadKind.class);
      for (ProofDaemon voter : cluster.voters()) {
        JsonNode statement = operator.view(voter, "statement/" + team.name());
        if (statement != null) {
          byKind(statement).forEach((kind, count) -> most.merge(kind, count, Math::max));
        }
      }
      billed.put(team.name(), most);
    }
    return billed;
  }

  private static Map<LoadKind, Long> byKind(JsonNode statement) {
    Map<LoadKind, Long> counts = new EnumMap<>(LoadKind.class);
    for (JsonNode line : statement.path("lines")) {
      LoadKind kind =
          switch (line.path("model").asText()) {
            case ExampleConfiguration.LOOKUP -> LoadKind.LOOKUP;
            case ExampleConfiguration.CERTIFICATES -> LoadKind.ISSUE;
            default -> LoadKind.DRAFT;
          };
      counts.merge(kind, line.path("requests").asLong(), Long::sum);
    }
    return counts;
  }
}
