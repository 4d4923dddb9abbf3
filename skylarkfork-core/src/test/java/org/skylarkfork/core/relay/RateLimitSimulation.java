package org.skylarkfork.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.Part;
import org.skylarkfork.core.effect.Effect;
import org.skylarkfork.core.effect.RelayEffect;
import org.skylarkfork.core.event.RelayEvent;
import org.skylarkfork.core.placement.PromptPart;

/**
 * Control VMs, entries, upstreams and callers in virtual time, where some upstreams name in their
 * answers how many requests a second they take from all entries together.
 */
final class RateLimitSimulation extends EmulatedDeployment {

  /** Time in which requests at an upstream are counted. */
  static final Duration WINDOW = Duration.ofSeconds(4);

  /** Share of the limit, and requests beyond it, that an upstream bears within the window. */
  private static final double OVERSHOOT = 1.5;

  private static final int SLACK = 5;

  /** Time after which an entry that has got an answer with a limit is to obey it. */
  private static final Duration OBEYED = Duration.ofMillis(500);

  private static final int SUBJECTS = 60;
  private static final int FIRST_BYTE_MILLIS = 150;
  private static final int ANSWER_MILLIS = 500;

  /** Time that each request under way at an upstream adds to a first byte there. */
  private static final int RUNNING_MILLIS = 8;

  private static final double REJECTED_SHARE = 0.03;
  private static final List<String> MODELS = List.of("small", "large");

  /** Worst excess over what an upstream bears, and where it was seen; empty if there was none. */
  String worst = "";

  int requests;
  int refused;
  int limitedSends;

  private final boolean engines;
  private final Map<String, Upstream> upstreams = new LinkedHashMap<>();
  private final Map<Long, String> entryByRequest = new HashMap<>();
  private double worstExcess;
  private long lastNumber;

  /** One start of an upstream. */
  static final class Upstream {
    final UpstreamInstance instance;
    private RateLimit limit = RateLimit.NONE;
    private Instant namedAt = START;

    /** The loosest limit within {@link #CONTACT} and the window before now, by its end. */
    private final Deque<Earlier> earlier = new ArrayDeque<>();

    private final Map<String, Instant> toldAt = new HashMap<>();
    private final Deque<Instant> counted = new ArrayDeque<>();
    private boolean up = true;
    private int running;

    /** When it first answered without a limit since it last named one, or null. */
    private @Nullable Instant freeSince;

    int sends;

    private Upstream(UpstreamInstance instance) {
      this.instance = instance;
    }
  }

  /** A limit that held until a time. */
  private record Earlier(RateLimit limit, Instant until) {}

  /**
   * Makes and starts all, with a configuration in force and every upstream known.
   *
   * @param seed seed of all chance
   * @param entryCount how many entries there are
   * @param upstreamCount how many upstreams the one service has
   * @param engines whether they are engines that keep prompts, else plain services
   */
  RateLimitSimulation(long seed, int entryCount, int upstreamCount, boolean engines) {
    super(seed, entryCount);
    this.engines = engines;
    run(Duration.ofSeconds(3));
    put(configuration());
    for (int number = 1; number <= upstreamCount; number++) {
      startUpstream(number, 1);
    }
    run(Duration.ofSeconds(6));
  }

  private RelayConfiguration configuration() {
    RouteKind kind = engines ? RouteKind.STREAMING : RouteKind.IDEMPOTENT;
    EngineProfile engine = engines ? new EngineProfile(64, 590_000, List.of()) : null;
    return new RelayConfiguration(
        1,
        List.of(RelayFixture.route("/x/", kind, engines, engines ? MODELS : List.of())),
        List.of(new RelayService("service", "/health", 400, engine)),
        List.of(new RelayTeam("team", List.of("key"), 2)),
        RelayLimits.DEFAULT);
  }

  @Override
  List<Part> parts(String name, RelayEntryPart entry, RelayRequestPart requests, long seed) {
    return List.of(
        entry,
        requests,
        new LoadExchangePart(entry, requests),
        new SchedulerPart(entry, name, seed));
  }

  private void startUpstream(int number, int start) {
    String id = "up-" + number + "." + start;
    String address = "10.0.0." + number + ":80";
    UpstreamInstance instance = new UpstreamInstance(id, "service", address, "a", "v1", 64, 1, 0);
    Upstream upstream = new Upstream(instance);
    upstreams.put(id, upstream);
    announce(instance, () -> upstream.up);
  }

  /** Returns the upstreams that are up. */
  List<Upstream> running() {
    return upstreams.values().stream().filter(upstream -> upstream.up).toList();
  }

  /** Lets an upstream name a limit from now on. */
  void limit(Upstream upstream, double perSecond) {
    upstream.earlier.addLast(new Earlier(upstream.limit, network.now()));
    if (!upstream.limit.isBounded()) {
      upstream.namedAt = network.now();
      upstream.toldAt.clear();
    }
    upstream.limit = new RateLimit(perSecond);
    upstream.freeSince = null;
  }

  /** Lets an upstream name no limit any more. */
  void lift(Upstream upstream) {
    upstream.earlier.addLast(new Earlier(upstream.limit, network.now()));
    upstream.limit = RateLimit.NONE;
  }

  /** Ends an upstream, which starts again at its address under a new id, with no limit. */
  void restart(Upstream upstream) {
    upstream.up = false;
    String[] words = upstream.instance.id().substring("up-".length()).split("\\.");
    int number = Integer.parseInt(words[0]);
    int start = Integer.parseInt(words[1]);
    schedule(1500, () -> startUpstream(number, start + 1));
  }

  /** Sends requests to all entries alike for as long as the run lasts. */
  void load(double requestsPerSecond) {
    double pause = -Math.log(1 - random.nextDouble()) * 1000 / requestsPerSecond;
    schedule(
        Math.max(1, Math.round(pause)),
        () -> {
          send();
          load(requestsPerSecond);
        });
  }

  private void send() {
    String entry = anyEntry();
    if (entry == null) {
      return;
    }
    long number = ++lastNumber;
    requests++;
    entryByRequest.put(number, entry);
    inject(entry, new RelayEvent.RequestArrived(request(number)));
  }

  private RelayRequest request(long number) {
    List<PromptPart> prompt =
        List.of(
            new PromptPart("subject-" + random.nextInt(SUBJECTS), 3000),
            new PromptPart("own-" + number, 500));
    return new RelayRequest(
        number,
        "id-" + number,
        "host.example",
        "/x/y",
        1500,
        "key",
        engines ? "*" : null,
        3500,
        20,
        engines ? prompt : List.of(),
        null,
        null,
        number);
  }

  @Override
  void onEffect(String node, Effect effect) {
    if (effect instanceof RelayEffect.SendAttempt sent) {
      schedule(1, () -> arrives(node, sent));
    } else if (effect instanceof RelayEffect.Refuse refuse) {
      refused += entryByRequest.remove(refuse.request()) == null ? 0 : 1;
    } else if (effect instanceof RelayEffect.BreakOff broken) {
      entryByRequest.remove(broken.request());
    }
  }

  private void arrives(String entry, RelayEffect.SendAttempt sent) {
    Upstream upstream = upstreams.get(sent.target().upstream().id());
    if (upstream == null || !upstream.up) {
      inject(
          entry,
          new RelayEvent.AttemptFailed(
              sent.request(), sent.attempt(), AttemptFailure.NOT_SENT, null));
      return;
    }
    upstream.sends++;
    if (upstream.limit.isBounded()) {
      limitedSends++;
      count(upstream, entry);
    }
    if (random.nextDouble() < REJECTED_SHARE) {
      schedule(randomMillis(5), () -> answers(upstream, entry, sent, 503, true));
    } else {
      upstream.running++;
      int first = engines ? 50 + randomMillis(FIRST_BYTE_MILLIS) : 30 + randomMillis(30);
      int shared = RUNNING_MILLIS * upstream.running;
      schedule(first + shared, () -> answers(upstream, entry, sent, 200, false));
    }
  }

  private void answers(
      Upstream upstream, String entry, RelayEffect.SendAttempt sent, int status, boolean notRun) {
    if (!upstream.up) {
      inject(
          entry,
          new RelayEvent.AttemptFailed(
              sent.request(), sent.attempt(), AttemptFailure.NO_ANSWER, null));
      return;
    }
    RateLimit limit = upstream.limit;
    if (limit.isBounded() && isAwake(entry)) {
      upstream.toldAt.putIfAbsent(entry, network.now());
    }
    if (!limit.isBounded() && !notRun && upstream.freeSince == null) {
      upstream.freeSince = network.now();
    }
    int confidence = random.nextInt(100);
    inject(
        entry,
        new RelayEvent.AnswerBegan(
            sent.request(), sent.attempt(), status, notRun, confidence, limit));
    if (!notRun) {
      schedule(
          engines ? randomMillis(ANSWER_MILLIS) : 0,
          () -> {
            upstream.running--;
            entryByRequest.remove(sent.request());
            inject(entry, new RelayEvent.AnswerEnded(sent.request(), sent.attempt()));
          });
    }
  }

  /** Ends an entry at once; it knows nothing of limits once it starts again. */
  void crash(String entry) {
    network.crash(entry);
    upstreams.values().forEach(upstream -> upstream.toldAt.remove(entry));
  }

  /**
   * Returns the upstreams that an entry in touch believes to be limited though they have answered
   * without a limit {@link #CONTACT} ago.
   */
  List<String> staleLimits() {
    Instant since = network.now().minus(SETTLE_TIME);
    List<String> stale = new ArrayList<>();
    for (Upstream upstream : running()) {
      Instant free = upstream.freeSince;
      if (free != null && free.isBefore(since)) {
        entries.stream()
            .filter(entry -> isAwake(entry) && isSettled(entry) && believesLimited(entry, upstream))
            .forEach(entry -> stale.add(entry + " of " + upstream.instance.id()));
      }
    }
    return stale;
  }

  private boolean believesLimited(String entry, Upstream upstream) {
    TrackedUpstream track = entryParts.get(entry).track(upstream.instance.id());
    return track != null && track.rateLimit().isBounded();
  }

  private void count(Upstream upstream, String entry) {
    Instant now = network.now();
    Instant told = upstream.toldAt.get(entry);
    boolean knows = told != null && !now.isBefore(told.plus(OBEYED));
    if (!knows || !isUndisturbed(entry) || now.isBefore(upstream.namedAt.plus(SETTLE_TIME))) {
      return;
    }
    upstream.counted.addLast(now);
    while (!upstream.counted.peekFirst().isAfter(now.minus(WINDOW))) {
      upstream.counted.removeFirst();
    }
    double most = OVERSHOOT * loosest(upstream) * WINDOW.toSeconds() + SLACK;
    double excess = upstream.counted.size() - most;
    if (excess > worstExcess) {
      worstExcess = excess;
      worst =
          upstream.instance.id()
              + " got "
              + upstream.counted.size()
              + " in "
              + WINDOW.toSeconds()
              + " s at a limit of "
              + upstream.limit
              + " a second; "
              + most
              + " allowed";
    }
  }

  /** Returns the loosest limit that an entry may still go by. */
  private double loosest(Upstream upstream) {
    Instant since = network.now().minus(SETTLE_TIME).minus(WINDOW);
    List<Earlier> late = new ArrayList<>();
    upstream.earlier.stream().filter(one -> one.until().isAfter(since)).forEach(late::add);
    upstream.earlier.removeIf(one -> !one.until().isAfter(since));
    double loosest = upstream.limit.perSecond();
    for (Earlier one : late) {
      loosest = one.limit().isBounded() ? Math.max(loosest, one.limit().perSecond()) : loosest;
    }
    return loosest;
  }

  /** Returns how many requests each of some upstreams gets in a second while some time passes. */
  double rate(List<Upstream> some, Duration time) {
    int before = sends(some);
    run(time);
    return (sends(some) - before) / (time.toMillis() / 1000.0) / some.size();
  }

  private static int sends(List<Upstream> some) {
    return some.stream().mapToInt(upstream -> upstream.sends).sum();
  }
}
