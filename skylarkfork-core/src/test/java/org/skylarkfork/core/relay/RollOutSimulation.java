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

  /** A request each step at each entry. */
  private static final int DEFAULT_REQUESTS_PER_SECOND = 140;

  final RelaySimulation run;
  private final UniformRandomProvider random;
  private final Map<String, Behaviour> behaviourByVersion = new LinkedHashMap<>();
  private final Queue<Answer> pending = new PriorityQueue<>(Comparator.comparing(Answer::at));
  private final Map<String, Long> requestsByVersion = new HashMap<>();
  private long lastRequest;
  private boolean isLoaded = true;
  private double requestsPerStep = DEFAULT_REQUESTS_PER_SECOND * STEP.toMillis() / 1000.0;
  private double dueRequests;
  private int sessions;
  private boolean hasSessions;
  private final Map<String, String> versionBySession = new HashMap<>();
  private final Map<String, Integer> changesByVersion = new HashMap<>();

  /** How a version answers. */
  interface Behaviour {

    /** Returns the time to the first byte of the next answer in milliseconds, or -1 if it fails. */
    long nextMillis(UniformRandomProvider random, Instant now);
  }

  /** An answer that an entry's process is going to count. */
  private record Answer(
      Instant at, VersionStatistics counter, long request, String version, long millis) {}

  /** Returns answers of between 50 and 150 ms. */
  static Behaviour good() {
    return (random, now) -> 50 + random.nextInt(101);
  }

  /** Returns answers that take a multiple of another version's. */
  static Behaviour slower(Behaviour other, int factor) {
    return (random, now) -> factor * other.nextMillis(random, now);
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

  /** Sets the number of requests a second to all entries together. */
  void setLoad(int requestsPerSecond) {
    requestsPerStep = requestsPerSecond * STEP.toMillis() / 1000.0;
  }

  /** Sets how a version answers from now on. */
  void setBehaviour(String version, Behaviour behaviour) {
    behaviourByVersion.put(version, behaviour);
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

  /** Makes all requests belong to one of a number of sessions, whichever entry they come to. */
  void useSessions(int number) {
    hasSessions = true;
    sessions = number;
  }

  /** Orders a roll-out to a version that runs from now on. */
  void order(String version, Behaviour behaviour, long deadlineMillis) {
    behaviourByVersion.put(version, behaviour);
    requestsByVersion.clear();
    changesByVersion.clear();
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

  /** Returns whether the leader knows that some sessions are on the new version for a trial. */
  boolean isOnTrial() {
    ServiceRollOut known = rollOut();
    return known != null && known.phase() == RollOutPhase.CANARY && known.sessionShare() > 0;
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
    if (!isLoaded) {
      return;
    }
    dueRequests += requestsPerStep;
    while (dueRequests >= 1) {
      dueRequests--;
      String entry = run.entries.get((int) (lastRequest++ % run.entries.size()));
      if (run.network.isUp(entry) && !run.network.isSuspended(entry)) {
        sendRequest(entry);
      }
    }
  }

  private void sendRequest(String entry) {
    RelayEntryPart part = run.entryPart(entry);
    if (!part.ready(run.network.timeOf(entry))) {
      return;
    }
    RelayRequest request = request(lastRequest);
    VersionFilter filter = new VersionSelector(part, 0.05).filterFor(SERVICE, request);
    // Upstreams of a new version register after the order, so that an entry learns of both at once.
    List<String> running =
        part.rollOuts().isEmpty() ? List.of("v1") : List.copyOf(behaviourByVersion.keySet());
    List<String> allowed = running.stream().filter(filter::allows).toList();
    if (allowed.isEmpty()) {
      return;
    }
    String version = allowed.get(random.nextInt(allowed.size()));
    requestsByVersion.merge(version, 1L, Long::sum);
    Instant now = run.network.now();
    long millis = behaviourByVersion.get(version).nextMillis(random, now);
    recordSession(request, version);
    VersionStatistics counter = run.statistics(entry);
    counter.recordSent(lastRequest, instance(version), run.network.timeOf(entry));
    pending.add(
        new Answer(now.plusMillis(Math.max(50, millis)), counter, lastRequest, version, millis));
  }

  private void recordSession(RelayRequest request, String version) {
    String session = request.session();
    if (session != null) {
      String before = versionBySession.put(session, version);
      if (before != null && !before.equals(version)) {
        changesByVersion.merge(version, 1, Integer::sum);
      }
    }
  }

  private static UpstreamInstance instance(String version) {
    return RelayFixture.instance("up-" + version, version);
  }

  private RelayRequest request(long number) {
    long session = sessions == 0 ? number : random.nextInt(sessions);
    return request(number, hasSessions ? "session-" + session : null);
  }

  private static RelayRequest request(long number, @Nullable String session) {
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
      UpstreamInstance upstream = instance(answer.version);
      if (answer.millis < 0) {
        answer.counter.recordFailure(upstream);
      } else {
        answer.counter.recordFirstByte(answer.request);
        answer.counter.recordAnswer(upstream, answer.millis);
      }
      answer.counter.recordEnded(answer.request);
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

  /** Returns the number of requests of sessions that went to a version after another one. */
  int changesTo(String version) {
    return changesByVersion.getOrDefault(version, 0);
  }

  /** Returns the number of requests that a version has received and not answered. */
  long unanswered(String version) {
    return pending.stream().filter(answer -> answer.version.equals(version)).count();
  }
}
