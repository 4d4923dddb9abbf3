package org.skylarkfork.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Queue;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.relay.VersionSelector.VersionFilter;
import org.skylarkfork.core.rollout.RollOutPhase;
import org.skylarkfork.core.rollout.ServiceRollOut;

/**
 * Simulates the control VMs and entries of {@link RelaySimulation} with requests, whose answers the
 * entries count, while versions of one service are rolled out.
 */
final class RollOutSimulation {

  static final String SERVICE = "service";
  private static final int ENTRIES = 7;
  private static final Duration STEP = Duration.ofMillis(50);

  /** A request each step at each entry makes 140 requests a second. */
  private static final int REQUESTS_PER_STEP = 1;

  final RelaySimulation run;
  private final UniformRandomProvider random;
  private final Map<String, Behaviour> behaviourByVersion = new LinkedHashMap<>();
  private final Queue<Answer> pending = new PriorityQueue<>(Comparator.comparing(Answer::at));
  private final Map<String, Long> requestsByVersion = new HashMap<>();
  private long lastRequest;
  private boolean isLoaded = true;
  private boolean hasSessions;

  /** How a version answers. */
  interface Behaviour {

    /** Returns the time to the first byte of the next answer in milliseconds, or -1 if it fails. */
    long nextMillis(UniformRandomProvider random, Instant now);
  }

  /** An answer that an entry's process is going to count. */
  private record Answer(Instant at, VersionStatistics counter, String version, long millis) {}

  /** Returns answers of between 50 and 150 ms. */
  static Behaviour good() {
    return (random, now) -> 50 + random.nextInt(101);
  }

  /** Returns answers half of which take eight times as long as good ones. */
  static Behaviour slow() {
    return (random, now) -> (50 + random.nextInt(101)) * (random.nextBoolean() ? 8 : 1);
  }

  /** Returns answers half of which fail. */
  static Behaviour failing() {
    return (random, now) -> random.nextBoolean() ? -1 : 50 + random.nextInt(101);
  }

  /** Returns answers that are good until a time and bad from then on. */
  static Behaviour until(Instant time, Behaviour later) {
    return (random, now) -> (now.isBefore(time) ? good() : later).nextMillis(random, now);
  }

  /**
   * Starts three control VMs and the entries, and runs them until all are configured.
   *
   * @param seed seed of the random numbers
   */
  RollOutSimulation(long seed) {
    run = new RelaySimulation(seed, 3, 0, ENTRIES);
    random = RandomSource.XO_SHI_RO_256_PP.create(seed);
    behaviourByVersion.put("v1", good());
    if (!run.runUntilRepaired()) {
      throw new AssertionError("seed " + seed + ": the group was not bootstrapped");
    }
    run.assertAcceptsChanges();
    runFor(Duration.ofSeconds(2));
  }

  /** Stops or resumes the requests of callers. */
  void setLoaded(boolean loaded) {
    isLoaded = loaded;
  }

  /**
   * Makes all requests belong to sessions, so that none is sent to a version in its canary phase.
   */
  void useSessions() {
    hasSessions = true;
  }

  /** Orders a roll-out to a version that runs from now on. */
  void order(String version, Behaviour behaviour, long deadlineMillis) {
    behaviourByVersion.put(version, behaviour);
    requestsByVersion.clear();
    for (int tries = 0; tries < 10 && !isOrdered(version); tries++) {
      List<String> running = run.runningControls();
      run.beginRollOut(running.get(tries % running.size()), version, deadlineMillis);
      runUntil(Duration.ofSeconds(1), () -> isOrdered(version));
    }
    if (!isOrdered(version)) {
      throw new AssertionError("the roll-out to " + version + " was not accepted");
    }
  }

  private boolean isOrdered(String version) {
    ServiceRollOut known = rollOut();
    return known != null && known.target().equals(version);
  }

  /** Returns the control VM that a majority considers the leader, or null. */
  @Nullable String newestLeader() {
    return run.leaderOfMajority();
  }

  /** Returns the newest roll-out as the leader knows it, or null without a leader. */
  @Nullable ServiceRollOut rollOut() {
    String leader = newestLeader();
    return leader == null ? null : run.machine(leader).rollOuts().stream().findFirst().orElse(null);
  }

  /** Returns whether the leader knows the newest roll-out to be in a phase. */
  boolean isIn(RollOutPhase phase) {
    ServiceRollOut known = rollOut();
    return known != null && known.phase() == phase;
  }

  /** Returns whether the newest roll-out is decided. */
  boolean isDecided() {
    ServiceRollOut known = rollOut();
    return known != null && !known.isRunning();
  }

  /** Condition on the simulated state. */
  interface Condition {

    /** Returns whether the condition holds. */
    boolean holds();
  }

  /** Runs until a condition holds or the limit is reached; returns whether the condition holds. */
  boolean runUntil(Duration limit, Condition condition) {
    Instant end = run.network.now().plus(limit);
    while (!condition.holds() && run.network.now().isBefore(end)) {
      sendRequests();
      run.network.run(STEP);
      countAnswers();
    }
    return condition.holds();
  }

  void runFor(Duration time) {
    runUntil(time, () -> false);
  }

  private void sendRequests() {
    for (String entry : run.entries) {
      if (isLoaded && run.network.isUp(entry) && !run.network.isSuspended(entry)) {
        for (int number = 0; number < REQUESTS_PER_STEP; number++) {
          sendRequest(entry);
        }
      }
    }
  }

  private void sendRequest(String entry) {
    RelayEntryPart part = run.entryPart(entry);
    if (!part.ready(run.network.timeOf(entry))) {
      return;
    }
    lastRequest++;
    RelayRequest request = request(lastRequest);
    VersionFilter filter = new VersionSelector(part, 0.05).filterFor(SERVICE, request);
    List<String> allowed = behaviourByVersion.keySet().stream().filter(filter::allows).toList();
    if (allowed.isEmpty()) {
      return;
    }
    String version = allowed.get(random.nextInt(allowed.size()));
    requestsByVersion.merge(version, 1L, Long::sum);
    Instant now = run.network.now();
    long millis = behaviourByVersion.get(version).nextMillis(random, now);
    pending.add(
        new Answer(now.plusMillis(Math.max(50, millis)), run.statistics(entry), version, millis));
  }

  private RelayRequest request(long number) {
    @Nullable String session = hasSessions ? "session-" + number : null;
    return new RelayRequest(
        number,
        "id-" + number,
        "host.example",
        "/lookup/",
        2000,
        "key",
        "*",
        100,
        10,
        List.of(),
        session,
        null,
        number);
  }

  private void countAnswers() {
    while (!pending.isEmpty() && !pending.peek().at().isAfter(run.network.now())) {
      Answer answer = pending.remove();
      UpstreamInstance upstream = RelayFixture.instance("up-" + answer.version, answer.version);
      if (answer.millis < 0) {
        answer.counter.recordFailure(upstream);
      } else {
        answer.counter.recordAnswer(upstream, answer.millis);
      }
    }
  }

  /** Returns the number of requests that a version has received since the newest order. */
  long requests(String version) {
    return requestsByVersion.getOrDefault(version, 0L);
  }

  /** Returns the number of requests that all versions have received since the newest order. */
  long allRequests() {
    return requestsByVersion.values().stream().mapToLong(Long::longValue).sum();
  }
}
