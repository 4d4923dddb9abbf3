package org.skylarkfork.standin.measure;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
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
import org.skylarkfork.core.event.PeerEvent;
import org.skylarkfork.core.event.RelayEvent;
import org.skylarkfork.core.message.RelayMessage;
import org.skylarkfork.core.placement.PromptPart;
import org.skylarkfork.core.relay.EngineProfile;
import org.skylarkfork.core.relay.EntryIdentity;
import org.skylarkfork.core.relay.RelayConfiguration;
import org.skylarkfork.core.relay.RelayEntryPart;
import org.skylarkfork.core.relay.RelayLimits;
import org.skylarkfork.core.relay.RelayRequest;
import org.skylarkfork.core.relay.RelayRequestPart;
import org.skylarkfork.core.relay.RelayRequestSettings;
import org.skylarkfork.core.relay.RelayRoute;
import org.skylarkfork.core.relay.RelayService;
import org.skylarkfork.core.relay.RelayTeam;
import org.skylarkfork.core.relay.RelayTimings;
import org.skylarkfork.core.relay.RouteKind;
import org.skylarkfork.core.relay.UpstreamCondition;
import org.skylarkfork.core.relay.UpstreamInstance;
import org.skylarkfork.core.relay.UpstreamStatus;
import org.skylarkfork.core.relay.VersionStatistics;
import org.skylarkfork.core.relay.WeightedService;

/** Time of all decisions on one relayed stream, by the number of engines. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Fork(1)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
public class RelayDecisionBenchmark {

  private static final Instant NOW = Instant.parse("2026-05-04T08:00:00Z");
  private static final int SUBJECTS = 466;
  private static final int ENTRIES = 7;
  private static final int OK = 200;
  private static final int GOOD_CONFIDENCE = 90;

  /** Number of engines. */
  @Param({"13", "62"})
  public int engines;

  private Reducer reducer;
  private long number;

  /** Makes an entry that knows its configuration and engines. */
  @Setup
  public void setUp() {
    RelayTimings times = RelayTimings.of(Duration.ofSeconds(5), Duration.ofSeconds(1));
    VersionStatistics counts = new VersionStatistics();
    RelayEntryPart entry =
        new RelayEntryPart(
            new EntryIdentity("127.0.0.2:80", "a", 1), List.of("127.0.0.3:1"), times, counts);
    RelayRequestSettings settings = new RelayRequestSettings("a", 0.7, 0.05, Duration.ofSeconds(8));
    reducer = new Reducer(List.of(entry, new RelayRequestPart(entry, settings, counts, 1)));
    reducer.apply(new PeerEvent.MessageReceived("127.0.0.3:1", update()), NOW);
  }

  private RelayMessage.EntryUpdate update() {
    List<UpstreamStatus> known = new ArrayList<>();
    for (int engine = 0; engine < engines; engine++) {
      String zone = List.of("a", "b", "c").get(engine % 3);
      UpstreamInstance instance =
          new UpstreamInstance("i-" + engine, "s", "127.0.1.1:" + engine, zone, "v1", 64, 1, 0);
      known.add(new UpstreamStatus(instance, UpstreamCondition.READY));
    }
    return new RelayMessage.EntryUpdate(
        NOW,
        1,
        configuration(),
        new RelayMessage.SharedState(List.of(), List.of(), List.of(), List.of()),
        new RelayMessage.DirectoryChanges(1, 1, true, true, known),
        List.of("127.0.0.3:1"),
        ENTRIES,
        null);
  }

  private static RelayConfiguration configuration() {
    RelayRoute route =
        new RelayRoute(
            "r",
            "h",
            "/a/",
            RouteKind.STREAMING,
            List.of(new WeightedService("s", 1)),
            8000,
            1500,
            800,
            3,
            1,
            false,
            true,
            true,
            List.of("small", "large"));
    return new RelayConfiguration(
        1,
        List.of(route),
        List.of(new RelayService("s", "/h", 360, new EngineProfile(64, 592_506, List.of()))),
        List.of(new RelayTeam("t", List.of("k"), 1)),
        RelayLimits.DEFAULT);
  }

  /** Decides where a stream goes, that its answer is passed on, and takes note of its end. */
  @Benchmark
  public List<Effect> relayStream() {
    number++;
    RelayRequest request =
        new RelayRequest(
            number,
            "id",
            "h",
            "/a/b",
            8000,
            "k",
            "*",
            6000,
            80,
            List.of(
                new PromptPart("c", 2520),
                new PromptPart("s" + number % SUBJECTS, 3780),
                new PromptPart("o" + number, 2890)),
            "session",
            null,
            number);
    reducer.apply(new RelayEvent.RequestArrived(request), NOW);
    reducer.apply(new RelayEvent.AnswerBegan(number, 1, OK, false, GOOD_CONFIDENCE), NOW);
    return reducer.apply(new RelayEvent.AnswerEnded(number, 1), NOW);
  }
}
