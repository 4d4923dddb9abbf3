package org.skylarkfork.standin.measure;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import org.skylarkfork.core.Reducer;
import org.skylarkfork.core.effect.Effect;
import org.skylarkfork.core.effect.PeerEffect.SendToPeer;
import org.skylarkfork.core.event.PeerEvent;
import org.skylarkfork.core.message.SlotMessage;
import org.skylarkfork.core.waiting.SlotSchedulerPart;
import org.skylarkfork.core.waiting.SlotUpstream;
import org.skylarkfork.core.waiting.SpacedRetryTimes;

/** Time of a scheduler's decisions on one call of a plain service, by upstreams and queue. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Fork(1)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
public class SlotDecisionBenchmark {

  private static final Instant NOW = Instant.parse("2026-05-04T08:00:00Z");
  private static final int ENTRIES = 80;
  private static final int TEAMS = 24;
  private static final int FAR_MILLIS = 1_000_000;

  /** Number of upstreams. */
  @Param({"3", "79", "140"})
  public int upstreams;

  /** Number of calls that wait. */
  @Param({"0", "60", "400"})
  public int waiting;

  private Reducer reducer;
  private final Deque<Long> running = new ArrayDeque<>();
  private long number;

  /** Makes a scheduler all of whose slots are in use and at which calls wait. */
  @Setup
  public void setUp() {
    List<SlotUpstream> known = new ArrayList<>();
    for (int upstream = 0; upstream < upstreams; upstream++) {
      String zone = List.of("a", "b", "c").get(upstream % 3);
      known.add(new SlotUpstream("i-" + upstream, 1, zone, "v1", 6, true));
    }
    reducer = new Reducer(List.of(new SlotSchedulerPart(service -> known, SpacedRetryTimes::new)));
    int slots = upstreams * 6;
    if (waiting > 0) {
      for (int call = 0; call < slots + upstreams * 2 + waiting; call++) {
        ask();
      }
    }
  }

  private List<Effect> ask() {
    number++;
    SlotMessage.SlotAsk ask =
        new SlotMessage.SlotAsk(
            number,
            "s",
            "a",
            "team-" + number % TEAMS,
            1,
            FAR_MILLIS,
            FAR_MILLIS,
            number,
            List.of("v1"),
            List.of());
    return apply(entry(number), ask);
  }

  private static String entry(long call) {
    return "entry-" + call % ENTRIES;
  }

  private List<Effect> apply(String entry, SlotMessage message) {
    List<Effect> effects = reducer.apply(new PeerEvent.MessageReceived(entry, message), NOW);
    for (Effect effect : effects) {
      if (effect instanceof SendToPeer sent
          && sent.message() instanceof SlotMessage.SlotAnswer answer
          && answer.outcome() == SlotMessage.SlotOutcome.GRANTED) {
        running.add(answer.number());
      }
    }
    return effects;
  }

  /** Decides on a call, and on the next one that waits when another call has ended. */
  @Benchmark
  public List<Effect> decideOnCall() {
    ask();
    long ended = running.remove();
    return apply(
        entry(ended), new SlotMessage.SlotNews(ended, SlotMessage.SlotProgress.ENDED, 40, 0));
  }
}
