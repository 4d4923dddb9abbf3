package org.skylarkfork.standin.measure;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
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
import org.skylarkfork.core.configuration.Rule;
import org.skylarkfork.core.request.Bytes;
import org.skylarkfork.core.request.CallerRequest;
import org.skylarkfork.core.request.RequestKind;
import org.skylarkfork.core.routing.ChooserSettings;
import org.skylarkfork.core.routing.CompiledRules;
import org.skylarkfork.core.routing.PowerOfTwoChooser;
import org.skylarkfork.core.upstream.Announcement;
import org.skylarkfork.core.upstream.LoadReport;
import org.skylarkfork.core.upstream.UpstreamKind;

/** Time of one match of the rules and of one choice of an upstream, by their number. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Fork(1)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
public class DecisionBenchmark {

  private static final Instant NOW = Instant.parse("2026-05-04T08:00:00Z");
  private static final int REQUESTS = 1_024;

  /** Number of rules, and of upstreams. */
  @Param({"10", "1000", "10000"})
  public int size;

  private final List<CallerRequest> requests = new ArrayList<>();
  private final List<Announcement> upstreams = new ArrayList<>();
  private CompiledRules rules;
  private PowerOfTwoChooser chooser;
  private int turn;

  /** Makes as many rules as upstreams; half of the rules name a team, half a model. */
  @Setup
  public void setUp() {
    List<Rule> list = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      list.add(rule(i));
      upstreams.add(upstream(i));
    }
    rules = new CompiledRules(list);
    chooser = new PowerOfTwoChooser("utrecht-a", ChooserSettings.DEFAULT, 1);
    for (int i = 0; i < REQUESTS; i++) {
      requests.add(lookup(i));
    }
  }

  /** Matches one request. */
  @Benchmark
  public Optional<Rule> match() {
    turn++;
    CallerRequest request = requests.get(turn % REQUESTS);
    return rules.match(request, "team" + turn % size, NOW);
  }

  /** Chooses an upstream and takes note of the request's begin and end. */
  @Benchmark
  public Optional<Announcement> choose() {
    turn++;
    CallerRequest request = requests.get(turn % REQUESTS);
    Instant now = NOW.plusMillis(turn);
    Optional<Announcement> chosen = chooser.choose(upstreams, request, Set.of(), now);
    String id = chosen.orElseThrow().id();
    chooser.dispatched(id, request, now);
    chooser.ended(id, request, true, now.plusMillis(1));
    return chosen;
  }

  private static Rule rule(int number) {
    List<String> teams = number % 2 == 0 ? List.of("team" + number) : List.of();
    List<String> models = number % 2 == 0 ? List.of() : List.of("model" + number);
    Rule.Condition when =
        new Rule.Condition(teams, models, List.of(), List.of(), null, null, null, null, null, null);
    return new Rule("rule" + number, when, new Rule.Decision.ToService());
  }

  private static Announcement upstream(int number) {
    return new Announcement(
        String.format("upstream%06d", number),
        1,
        "127.0.0.1",
        9000,
        number % 3 == 0 ? "utrecht-a" : "amersfoort",
        UpstreamKind.SERVICE,
        "chips",
        List.of(),
        "mixed",
        16,
        new LoadReport(number % 16, 0, 0, 100),
        true,
        false,
        false,
        List.of());
  }

  private static CallerRequest lookup(int number) {
    return new CallerRequest(
        "r" + number,
        "hash",
        RequestKind.SERVICE,
        "model" + (2 * number + 1),
        "chips",
        "GET",
        "/reads",
        List.of(),
        "",
        Bytes.EMPTY,
        0,
        0,
        false,
        0,
        null,
        null,
        null,
        NOW.plusSeconds(60),
        null);
  }
}
