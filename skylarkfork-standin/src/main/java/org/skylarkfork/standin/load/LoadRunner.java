package org.skylarkfork.standin.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;

/** Sends a load over several entries and collects what came of each request. */
public final class LoadRunner {

  private static final int MOST_AT_ONCE = 20_000;
  private static final Duration SHORTEST_WAIT = Duration.ofMillis(50);
  private static final Duration LONGEST_WAIT = Duration.ofSeconds(5);

  private final LoadSettings settings;
  private final EntryPicker entries;
  private final String run;

  /**
   * Makes a runner.
   *
   * @param settings what to send
   * @param run name of the run, which makes its idempotency keys unlike those of other runs
   */
  public LoadRunner(LoadSettings settings, String run) {
    this.settings = settings;
    this.entries = new EntryPicker(settings.entries(), settings.seed());
    this.run = run;
  }

  /**
   * Sends all requests and waits for their ends.
   *
   * @param each told of each request as it ends, on any thread
   * @return all requests in the order of their ends
   */
  public List<LoadRecord> run(Consumer<LoadRecord> each) {
    try (LoadSender sender = new LoadSender(settings)) {
      return paced(Flux.fromIterable(calls()))
          .flatMap(call -> one(sender, call), MOST_AT_ONCE)
          .doOnNext(each)
          .collectList()
          .block();
    }
  }

  private Flux<LoadCall> paced(Flux<LoadCall> calls) {
    if (settings.ratePerSecond() <= 0) {
      return calls;
    }
    long start = System.nanoTime();
    double gap = Duration.ofSeconds(1).toNanos() / settings.ratePerSecond();
    return calls.concatMap(
        call -> {
          long due = start + (long) (call.number() * gap) - System.nanoTime();
          return due <= 0 ? Mono.just(call) : Mono.just(call).delayElement(Duration.ofNanos(due));
        },
        0);
  }

  private List<LoadCall> calls() {
    UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(settings.seed());
    List<LoadCall> calls = new ArrayList<>();
    for (int number = 0; number < settings.requests(); number++) {
      calls.add(call(number, random));
    }
    return calls;
  }

  private LoadCall call(int number, UniformRandomProvider random) {
    int drawn = random.nextInt(settings.drafts() + settings.lookups() + settings.issues());
    LoadKind kind = LoadKind.ISSUE;
    if (drawn < settings.drafts()) {
      kind = LoadKind.DRAFT;
    } else if (drawn < settings.drafts() + settings.lookups()) {
      kind = LoadKind.LOOKUP;
    }
    boolean inSession = kind == LoadKind.DRAFT && settings.sessions() > 0;
    int session = inSession ? random.nextInt(settings.sessions()) : 0;
    int team =
        inSession
            ? session % settings.teamKeys().size()
            : random.nextInt(settings.teamKeys().size());
    String about = run + "-" + number;
    return new LoadCall(
        number,
        kind,
        about,
        inSession ? run + "-session-" + session : null,
        team,
        kind == LoadKind.DRAFT ? "Explain the penalty of athlete " + about + "." : about);
  }

  private Mono<LoadRecord> one(LoadSender sender, LoadCall call) {
    long start = System.nanoTime();
    return attempt(sender, call, 1, 0, "", start).subscribeOn(Schedulers.boundedElastic());
  }

  private Mono<LoadRecord> attempt(
      LoadSender sender, LoadCall call, int sends, int lostBefore, String avoid, long start) {
    String entry = entries.pick(avoid);
    return sender
        .send(call, entry)
        .flatMap(
            reply -> {
              int lost =
                  reply.outcome() == LoadOutcome.CONNECTION_LOST ? lostBefore + 1 : lostBefore;
              boolean again =
                  sends <= settings.resends()
                      && (reply.outcome() == LoadOutcome.NOT_RUN && reply.status() >= 429
                          || reply.outcome() == LoadOutcome.CONNECTION_LOST);
              if (!again) {
                return Mono.just(record(call, reply, sends, lost, start));
              }
              return Mono.delay(wait(reply, sends), Schedulers.boundedElastic())
                  .flatMap(tick -> attempt(sender, call, sends + 1, lost, entry, start));
            });
  }

  private static Duration wait(LoadReply reply, int sends) {
    Duration wait =
        reply.retryAfterMillis() >= 0
            ? Duration.ofMillis(reply.retryAfterMillis())
            : SHORTEST_WAIT.multipliedBy(1L << Math.min(sends, 6));
    return wait.compareTo(LONGEST_WAIT) > 0 ? LONGEST_WAIT : wait;
  }

  private static LoadRecord record(
      LoadCall call, LoadReply reply, int sends, int lost, long start) {
    long now = System.nanoTime();
    return new LoadRecord(
        call.number(),
        call.kind(),
        call.key(),
        call.session(),
        call.team(),
        sends,
        lost,
        reply.requestId(),
        reply.outcome(),
        reply.status(),
        reply.version(),
        reply.moved(),
        reply.costMicros(),
        reply.firstNanos() == 0 ? -1 : micros(reply.firstNanos() - start),
        micros(now - start),
        reply.detail());
  }

  private static long micros(long nanos) {
    return nanos / 1000;
  }
}
