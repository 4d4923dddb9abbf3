package org.skylarkfork.core.relay;

import java.time.Duration;
import java.util.List;
import java.util.function.BiConsumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.skylarkfork.core.command.RelayCommand;
import org.skylarkfork.core.event.RelayEvent;
import org.skylarkfork.core.placement.PromptPart;
import org.testng.annotations.Test;

/**
 * Tests with numbers that nobody means but anybody can send.
 *
 * <p>A daemon halts if its reducer throws. What one heartbeat, order or request does to one daemon
 * it does to the next one that gets it, and what is in the log or the directory does it at each
 * start: a single number could end all daemons there are.
 */
public final class ExtremeValuesTest {

  private static final int SEEDS = 6;
  private static final int STEPS = 40;
  private static final long[] NUMBERS = {
    0, 1, -1, 7, 1000, Integer.MAX_VALUE, Integer.MIN_VALUE, Long.MAX_VALUE, Long.MIN_VALUE
  };
  private static final int[] SMALL_NUMBERS = {
    0, 1, -1, 7, 1000, Integer.MAX_VALUE, Integer.MIN_VALUE
  };

  private static long number(UniformRandomProvider random) {
    return NUMBERS[random.nextInt(NUMBERS.length)];
  }

  private static int smallNumber(UniformRandomProvider random) {
    return SMALL_NUMBERS[random.nextInt(SMALL_NUMBERS.length)];
  }

  private static void play(BiConsumer<CrashingRequestSimulation, UniformRandomProvider> step) {
    for (int seed = 1; seed <= SEEDS; seed++) {
      UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(seed);
      CrashingRequestSimulation run = new CrashingRequestSimulation(seed, 3, 3);
      run.sendOrdinaryRequests(50);
      for (int number = 0; number < STEPS; number++) {
        try {
          step.accept(run, random);
          run.run(Duration.ofMillis(100));
        } catch (RuntimeException | AssertionError failed) {
          throw new AssertionError("seed " + seed, failed);
        }
      }
    }
  }

  private static String any(List<String> names, UniformRandomProvider random) {
    return names.get(random.nextInt(names.size()));
  }

  /** An upstream tells numbers without sense; control VMs and entries go on. */
  @Test
  public void heartbeatsOfAnyNumbersEndNoDaemon() {
    play(
        (run, random) ->
            run.network.inject(
                any(run.controls, random),
                new RelayEvent.HeartbeatReceived(
                    new UpstreamInstance(
                        "odd-" + random.nextInt(4),
                        "service",
                        "10.0.1." + random.nextInt(4) + ":80",
                        "a",
                        "v1",
                        smallNumber(random),
                        number(random),
                        number(random),
                        number(random)))));
  }

  /** A caller sends numbers without sense; the entries go on. */
  @Test
  public void requestsOfAnyNumbersEndNoEntry() {
    long[] last = {1_000_000_000L};
    play(
        (run, random) ->
            run.network.inject(
                any(run.entries, random),
                new RelayEvent.RequestArrived(
                    new RelayRequest(
                        ++last[0],
                        "odd",
                        random.nextBoolean() ? "host.example" : "",
                        any(List.of("/sized/x", "/stream/x", "/book/x", "", "*", "x:80"), random),
                        number(random),
                        "key",
                        random.nextBoolean() ? "*" : null,
                        smallNumber(random),
                        smallNumber(random),
                        List.of(
                            new PromptPart("a", smallNumber(random)),
                            new PromptPart("b", smallNumber(random))),
                        null,
                        random.nextBoolean() ? "" : null,
                        number(random)))));
  }

  /** Operators order roll-outs and configurations that are valid but odd; all daemons go on. */
  @Test
  public void ordersOfAnyNumbersEndNoDaemon() {
    long[] last = {1};
    play(
        (run, random) -> {
          RelayCommand command =
              random.nextInt(3) == 0
                  ? new RelayCommand.BeginRollOut("service", "v2", number(random))
                  : new RelayCommand.PutConfiguration(
                      configuration(++last[0], random), new byte[0]);
          run.network.inject(
              any(run.controls, random), new RelayEvent.CommandAsked(++last[0], command, 900));
        });
  }

  private static RelayConfiguration configuration(long version, UniformRandomProvider random) {
    while (true) {
      RelayConfiguration odd = oddConfiguration(version, random);
      if (RelayConfigurationValidator.problems(odd).isEmpty()) {
        return odd;
      }
    }
  }

  private static RelayConfiguration oddConfiguration(long version, UniformRandomProvider random) {
    List<RelayRoute> routes =
        RelayFixture.configuration(version, "key").routes().stream()
            .map(route -> odd(route, random))
            .toList();
    EngineProfile engine =
        random.nextBoolean()
            ? null
            : new EngineProfile(
                smallNumber(random),
                number(random),
                List.of(new ModelPrice("small", number(random)), new ModelPrice("large", 0)));
    RelayService service =
        new RelayService(
            "service",
            "/health",
            smallNumber(random),
            engine,
            new ColdStart(smallNumber(random), number(random)));
    return new RelayConfiguration(
        version,
        routes,
        List.of(service, new RelayService("other", "/health", 1, null)),
        List.of(new RelayTeam("team", List.of("key"), smallNumber(random))),
        RelayLimits.DEFAULT);
  }

  private static RelayRoute odd(RelayRoute route, UniformRandomProvider random) {
    return new RelayRoute(
        route.name(),
        route.host(),
        route.pathPrefix(),
        route.kind(),
        List.of(
            new WeightedService("service", Math.abs(smallNumber(random) / 2) + 1),
            new WeightedService("other", Math.abs(smallNumber(random) / 2) + 1)),
        smallNumber(random),
        smallNumber(random),
        smallNumber(random),
        smallNumber(random),
        smallNumber(random),
        route.isPublic(),
        route.sticky(),
        route.resumable(),
        route.models());
  }
}
