package org.skylarkfork.core.relay;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.skylarkfork.core.command.RelayCommand;
import org.skylarkfork.core.event.RelayEvent;
import org.skylarkfork.core.placement.PromptPart;
import org.testng.annotations.Test;

/**
 * Tests with extreme numbers that are valid on the wire although no client sends them on purpose.
 *
 * <p>A daemon halts if its reducer throws. A heartbeat, command or request that halts one daemon
 * halts each daemon that receives it, and a value in the log or the directory does so on each
 * start, so a single number could halt all daemons.
 */
public final class ExtremeValuesTest {

  private static final int SEEDS = 6;
  private static final int STEPS = 40;
  private static final long[] LONG_VALUES = {
    0, 1, -1, 7, 1000, Integer.MAX_VALUE, Integer.MIN_VALUE, Long.MAX_VALUE, Long.MIN_VALUE
  };
  private static final int[] INT_VALUES = {0, 1, -1, 7, 1000, Integer.MAX_VALUE, Integer.MIN_VALUE};

  private static long randomLong(UniformRandomProvider random) {
    return LONG_VALUES[random.nextInt(LONG_VALUES.length)];
  }

  private static int randomInt(UniformRandomProvider random) {
    return INT_VALUES[random.nextInt(INT_VALUES.length)];
  }

  private static void runSeeds(BiConsumer<CrashingRequestSimulation, UniformRandomProvider> step) {
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

  private static String randomElement(List<String> elements, UniformRandomProvider random) {
    return elements.get(random.nextInt(elements.size()));
  }

  /**
   * Control VMs and entries must keep running if an upstream's heartbeats contain extreme numbers.
   */
  @Test
  public void heartbeatsWithExtremeNumbersHaltNoDaemon() {
    runSeeds(
        (run, random) ->
            run.network.inject(
                randomElement(run.controls, random),
                new RelayEvent.HeartbeatReceived(
                    new UpstreamInstance(
                        "odd-" + random.nextInt(4),
                        "service",
                        "10.0.1." + random.nextInt(4) + ":80",
                        "a",
                        "v1",
                        randomInt(random),
                        randomLong(random),
                        randomLong(random),
                        randomLong(random)))));
  }

  /** Entries must keep running if a caller's requests contain extreme numbers. */
  @Test
  public void requestsWithExtremeNumbersHaltNoEntry() {
    long[] lastNumber = {1_000_000_000L};
    runSeeds(
        (run, random) ->
            run.network.inject(
                randomElement(run.entries, random),
                new RelayEvent.RequestArrived(
                    new RelayRequest(
                        ++lastNumber[0],
                        "odd",
                        random.nextBoolean() ? "host.example" : "",
                        randomElement(
                            List.of("/sized/x", "/stream/x", "/book/x", "", "*", "x:80"), random),
                        randomLong(random),
                        "key",
                        random.nextBoolean() ? "*" : null,
                        randomInt(random),
                        randomInt(random),
                        List.of(
                            new PromptPart("a", randomInt(random)),
                            new PromptPart("b", randomInt(random))),
                        null,
                        random.nextBoolean() ? "" : null,
                        randomLong(random)))));
  }

  /**
   * All daemons must keep running if roll-outs and configurations are valid but contain extreme
   * numbers.
   */
  @Test
  public void commandsWithExtremeNumbersHaltNoDaemon() {
    long[] lastNumber = {1};
    runSeeds(
        (run, random) -> {
          RelayCommand command =
              random.nextInt(3) == 0
                  ? new RelayCommand.BeginRollOut("service", "v2", randomLong(random))
                  : new RelayCommand.PutConfiguration(
                      validExtremeConfiguration(++lastNumber[0], random), new byte[0]);
          run.network.inject(
              randomElement(run.controls, random),
              new RelayEvent.CommandAsked(++lastNumber[0], command, 900));
        });
  }

  /**
   * All daemons must keep running with a configuration that was stored before such numbers were
   * refused.
   */
  @Test
  public void storedConfigurationsWithExtremeNumbersHaltNoDaemon() {
    long[] lastNumber = {1};
    runSeeds(
        (run, random) ->
            run.network.inject(
                randomElement(run.controls, random),
                new RelayEvent.CommandAsked(
                    ++lastNumber[0],
                    new RelayCommand.PutConfiguration(
                        withExtremeLimits(extremeConfiguration(++lastNumber[0], random), random),
                        new byte[0]),
                    900)));
  }

  private static RelayConfiguration withExtremeLimits(
      RelayConfiguration configuration, UniformRandomProvider random) {
    return new RelayConfiguration(
        configuration.version(),
        configuration.routes(),
        configuration.services(),
        configuration.teams(),
        new RelayLimits(
            randomInt(random), randomInt(random), randomInt(random), randomInt(random)));
  }

  /**
   * Returns a configuration with extreme numbers that is valid. Its parts are drawn one by one,
   * since hardly any configuration is valid whose parts are drawn together.
   */
  private static RelayConfiguration validExtremeConfiguration(
      long version, UniformRandomProvider random) {
    RelayConfiguration usual = RelayFixture.configuration(version, "key");
    RelayConfiguration extreme = extremeConfiguration(version, random);
    while (!isValid(List.of(), extreme)) {
      extreme = extremeConfiguration(version, random);
    }
    List<RelayRoute> routes = new ArrayList<>();
    for (RelayRoute route : usual.routes()) {
      RelayRoute candidate = withExtremeNumbers(route, random);
      while (!isValid(List.of(candidate), extreme)) {
        candidate = withExtremeNumbers(route, random);
      }
      routes.add(candidate);
    }
    RelayConfiguration valid = withRoutes(routes, extreme);
    assertEquals(RelayConfigurationValidator.problems(valid), List.of());
    return valid;
  }

  private static boolean isValid(List<RelayRoute> routes, RelayConfiguration others) {
    return RelayConfigurationValidator.problems(withRoutes(routes, others)).isEmpty();
  }

  private static RelayConfiguration withRoutes(List<RelayRoute> routes, RelayConfiguration others) {
    return new RelayConfiguration(
        others.version(), routes, others.services(), others.teams(), others.limits());
  }

  private static RelayConfiguration extremeConfiguration(
      long version, UniformRandomProvider random) {
    List<RelayRoute> routes =
        RelayFixture.configuration(version, "key").routes().stream()
            .map(route -> withExtremeNumbers(route, random))
            .toList();
    EngineProfile engine =
        random.nextBoolean()
            ? null
            : new EngineProfile(
                randomInt(random),
                randomLong(random),
                List.of(new ModelPrice("small", randomLong(random)), new ModelPrice("large", 0)));
    RelayService service =
        new RelayService(
            "service",
            "/health",
            randomInt(random),
            engine,
            new ColdStart(randomInt(random), randomLong(random)));
    return new RelayConfiguration(
        version,
        routes,
        List.of(service, new RelayService("other", "/health", 1, null)),
        List.of(new RelayTeam("team", List.of("key"), randomInt(random))),
        RelayLimits.DEFAULT);
  }

  private static RelayRoute withExtremeNumbers(RelayRoute route, UniformRandomProvider random) {
    return new RelayRoute(
        route.name(),
        route.host(),
        route.pathPrefix(),
        route.kind(),
        List.of(
            new WeightedService("service", Math.abs(randomInt(random) / 2) + 1),
            new WeightedService("other", Math.abs(randomInt(random) / 2) + 1)),
        randomInt(random),
        randomInt(random),
        randomInt(random),
        randomInt(random),
        randomInt(random),
        route.isPublic(),
        route.sticky(),
        route.resumable(),
        route.models());
  }
}
