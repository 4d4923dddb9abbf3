package org.skylarkfork.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.Part;
import org.skylarkfork.core.effect.Effect;
import org.skylarkfork.core.effect.RelayEffect;
import org.skylarkfork.core.event.RelayEvent;

/**
 * Simulates control VMs, entries, upstreams and callers in virtual time, where some requests crash
 * each upstream that runs them.
 *
 * <p>An upstream that crashes loses all its requests, accepts no connection for three seconds, and
 * starts again under a new id at the same address. A crashing request is resent until the end of
 * the simulation, to random entries, regardless of the answer.
 */
final class CrashingRequestSimulation extends EmulatedDeployment {

  /** Number of crashes after which a request should be identified as crashing. */
  static final int ENDS_UNTIL_FOUND = 3;

  private static final Duration RESTART_DELAY = Duration.ofSeconds(3);
  private static final int MAX_WAIT_MILLIS = 150;
  private static final int MAX_ANSWER_MILLIS = 600;
  private static final int MAX_CRASH_MILLIS = 100;
  private static final int RETRY_MILLIS = 150;
  private static final List<String> PATHS = List.of("/stream/x", "/lookup/x", "/book/x");

  /** Counts for each crashing request, by its content. */
  final Map<Long, CrashRecord> recordsByContent = new LinkedHashMap<>();

  /** Number of refused ordinary requests, by reason. */
  final Map<Refusal, Integer> ordinaryRefused = new HashMap<>();

  int ordinarySent;
  int ordinaryAnswered;
  int upstreamsEnded;

  private final Map<String, Upstream> upstreams = new LinkedHashMap<>();
  private final Map<Long, Caller> callers = new HashMap<>();
  private long lastNumber;
  private long lastContent = 1_000_000;

  /** A request of a caller that an entry processes. */
  private record Caller(long content, String path, int retriesLeft) {}

  /** An attempt that runs at an upstream. */
  private record Run(String entry, long request, int attempt, long content, Instant sentAt) {}

  /**
   * The upstreams that one request crashed, its refusals, and its sends; late ones are counted
   * apart.
   */
  static final class CrashRecord {
    final Set<String> ended = new LinkedHashSet<>();
    final Map<Refusal, Integer> refused = new HashMap<>();
    @Nullable Instant identifiedAt;
    int sends;
    int lateSends;
  }

  /** One run of an upstream. */
  private static final class Upstream {
    private final UpstreamInstance instance;
    private final Map<Run, Boolean> begunByRun = new LinkedHashMap<>();
    private boolean up = true;

    private Upstream(UpstreamInstance instance) {
      this.instance = instance;
    }
  }

  /**
   * Creates and starts all daemons, applies a configuration and registers every upstream.
   *
   * @param seed seed of the random numbers
   * @param entryCount number of entries
   * @param upstreamCount number of upstreams
   */
  CrashingRequestSimulation(long seed, int entryCount, int upstreamCount) {
    super(seed, entryCount);
    run(Duration.ofSeconds(3));
    put(RelayFixture.configuration(1, "key"));
    for (int number = 1; number <= upstreamCount; number++) {
      startUpstream(number, 1);
    }
    run(Duration.ofSeconds(6));
  }

  @Override
  List<Part> parts(String name, RelayEntryPart entry, RelayRequestPart requests, long seed) {
    return List.of(entry, requests);
  }

  private void startUpstream(int number, int start) {
    String id = "up-" + number + "." + start;
    String address = "10.0.0." + number + ":80";
    UpstreamInstance instance = new UpstreamInstance(id, "service", address, "a", "v1", 64, 1, 0);
    Upstream upstream = new Upstream(instance);
    upstreams.put(id, upstream);
    announce(instance, () -> upstream.up);
  }

  /** Sends ordinary requests, each with a different content, until the end of the simulation. */
  void sendOrdinaryRequests(int requestsPerSecond) {
    schedule(
        Math.max(1, randomMillis(2 * 1000 / requestsPerSecond) - 1),
        () -> {
          long content = ++lastContent;
          ordinarySent++;
          send(content, path(content), 1);
          sendOrdinaryRequests(requestsPerSecond);
        });
  }

  /**
   * Sends the same ordinary lookup repeatedly until the end of the simulation, as many callers do.
   */
  void sendPopularLookups(long content, int requestsPerSecond) {
    schedule(
        randomMillis(2 * 1000 / requestsPerSecond),
        () -> {
          ordinarySent++;
          send(content, "/lookup/x", 1);
          sendPopularLookups(content, requestsPerSecond);
        });
  }

  /** Sends a crashing request repeatedly, with random pauses up to a maximum in milliseconds. */
  void sendCrashingRequest(long content, int pauseMillis) {
    recordsByContent.computeIfAbsent(content, unknown -> new CrashRecord());
    send(content, path(content), 0);
    schedule(randomMillis(pauseMillis), () -> sendCrashingRequest(content, pauseMillis));
  }

  private static String path(long content) {
    return PATHS.get((int) (content % PATHS.size()));
  }

  private void send(long content, String path, int retriesLeft) {
    String entry = anyEntry();
    if (entry == null) {
      return;
    }
    long number = ++lastNumber;
    callers.put(number, new Caller(content, path, retriesLeft));
    inject(entry, new RelayEvent.RequestArrived(request(number, path, content)));
  }

  private static RelayRequest request(long number, String path, long content) {
    return new RelayRequest(
        number,
        "id-" + number,
        "host.example",
        path,
        2000,
        "key",
        null,
        0,
        0,
        List.of(),
        null,
        null,
        content);
  }

  @Override
  void onEffect(String node, Effect effect) {
    if (effect instanceof RelayEffect.SendAttempt sent) {
      schedule(1, () -> onArrival(node, sent));
    } else if (effect instanceof RelayEffect.DropAttempt drop) {
      onDropped(node, drop);
    } else if (effect instanceof RelayEffect.Refuse refuse) {
      onRefused(refuse);
    } else if (effect instanceof RelayEffect.BreakOff broken) {
      retry(callers.remove(broken.request()));
    } else if (effect instanceof RelayEffect.ProbeUpstream probe) {
      Upstream upstream = upstreams.get(probe.upstream().id());
      schedule(
          1,
          () ->
              inject(
                  node,
                  new RelayEvent.UpstreamProbed(
                      probe.upstream().run(), upstream != null && upstream.up)));
    }
  }

  private void onArrival(String entry, RelayEffect.SendAttempt sent) {
    Caller caller = callers.get(sent.request());
    Upstream upstream = upstreams.get(sent.target().upstream().id());
    if (caller == null) {
      return;
    }
    if (upstream == null || !upstream.up) {
      fail(entry, sent.request(), sent.attempt(), AttemptFailure.NOT_SENT);
      return;
    }
    Run run = new Run(entry, sent.request(), sent.attempt(), caller.content(), network.now());
    upstream.begunByRun.put(run, false);
    CrashRecord record = recordsByContent.get(caller.content());
    if (record != null) {
      countSend(record, entry);
    }
    schedule(randomMillis(MAX_WAIT_MILLIS), () -> onBegin(upstream, run, caller));
  }

  private void countSend(CrashRecord record, String entry) {
    record.sends++;
    Instant identified = record.identifiedAt;
    boolean isLate = identified != null && network.now().isAfter(identified.plus(SETTLE_TIME));
    if (isLate && isSettled(entry)) {
      record.lateSends++;
    }
  }

  private void onBegin(Upstream upstream, Run run, Caller caller) {
    if (!upstream.begunByRun.containsKey(run)) {
      return;
    }
    upstream.begunByRun.put(run, true);
    boolean streams = caller.path().startsWith("/stream/");
    if (recordsByContent.containsKey(run.content())) {
      if (streams && random.nextBoolean()) {
        answer(run);
      }
      schedule(randomMillis(MAX_CRASH_MILLIS) - 1, () -> crashUnder(upstream, run));
      return;
    }
    if (streams) {
      answer(run);
    }
    schedule(randomMillis(MAX_ANSWER_MILLIS), () -> onEnd(upstream, run, streams));
  }

  private void answer(Run run) {
    inject(run.entry(), new RelayEvent.AnswerBegan(run.request(), run.attempt(), 200, false, null));
  }

  private void onEnd(Upstream upstream, Run run, boolean streams) {
    if (upstream.begunByRun.remove(run) == null) {
      return;
    }
    if (!streams) {
      answer(run);
    }
    ordinaryAnswered++;
    callers.remove(run.request());
    inject(run.entry(), new RelayEvent.AnswerEnded(run.request(), run.attempt()));
  }

  private void crashUnder(Upstream upstream, Run run) {
    if (!upstream.begunByRun.containsKey(run)) {
      return;
    }
    CrashRecord record = recordsByContent.get(run.content());
    record.ended.add(upstream.instance.id());
    if (record.ended.size() == ENDS_UNTIL_FOUND) {
      record.identifiedAt = network.now();
    }
    crash(upstream);
  }

  /** Crashes each running upstream with a probability, independently of its requests. */
  void crashUpstreams(double probability) {
    List<Upstream> running = upstreams.values().stream().filter(candidate -> candidate.up).toList();
    for (Upstream upstream : running) {
      if (random.nextDouble() < probability) {
        crash(upstream);
      }
    }
  }

  private void crash(Upstream upstream) {
    upstreamsEnded++;
    upstream.up = false;
    upstream.begunByRun.forEach(
        (run, begun) ->
            fail(
                run.entry(),
                run.request(),
                run.attempt(),
                begun ? AttemptFailure.BROKEN_OFF : AttemptFailure.NO_ANSWER));
    upstream.begunByRun.clear();
    String[] idParts = upstream.instance.id().substring("up-".length()).split("\\.");
    int number = Integer.parseInt(idParts[0]);
    int start = Integer.parseInt(idParts[1]);
    schedule(RESTART_DELAY.toMillis(), () -> startUpstream(number, start + 1));
  }

  private void fail(String entry, long request, int attempt, AttemptFailure failure) {
    schedule(
        randomMillis(3),
        () -> inject(entry, new RelayEvent.AttemptFailed(request, attempt, failure, null)));
  }

  private void onDropped(String entry, RelayEffect.DropAttempt drop) {
    for (Upstream upstream : upstreams.values()) {
      upstream
          .begunByRun
          .keySet()
          .removeIf(
              run ->
                  run.entry().equals(entry)
                      && run.request() == drop.request()
                      && run.attempt() == drop.attempt());
    }
  }

  private void onRefused(RelayEffect.Refuse refuse) {
    Caller caller = callers.remove(refuse.request());
    if (caller == null) {
      return;
    }
    CrashRecord record = recordsByContent.get(caller.content());
    if (record != null) {
      record.refused.merge(refuse.refusal(), 1, Integer::sum);
      return;
    }
    ordinaryRefused.merge(refuse.refusal(), 1, Integer::sum);
    if (refuse.refusal() != Refusal.QUARANTINED) {
      retry(caller);
    }
  }

  /** Resends the failed request of a caller while it has retries left. */
  private void retry(@Nullable Caller caller) {
    if (caller != null && caller.retriesLeft() > 0) {
      schedule(RETRY_MILLIS, () -> send(caller.content(), caller.path(), caller.retriesLeft() - 1));
    }
  }
}
