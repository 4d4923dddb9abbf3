package org.skylarkfork.core.admission;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.skylarkfork.core.configuration.Limits;
import org.skylarkfork.core.configuration.Team;
import org.skylarkfork.core.error.ErrorKind;
import org.skylarkfork.core.error.RoutingError;
import org.skylarkfork.core.request.RunState;
import org.testng.annotations.Test;

/** Limits, fair shares and early refusal. */
public class FairAdmissionTest {

  private static final Duration SECOND = Duration.ofSeconds(1);
  private static final Duration LONG = Duration.ofMinutes(10);
  private static final Team LARGE = AdmissionBench.team("large", Limits.NONE, 1);
  private static final Team SMALL = AdmissionBench.team("small", Limits.NONE, 1);

  private static AdmissionBench bench(int slots, AdmissionSettings settings) {
    return new AdmissionBench(
        new FairAdmission((lane, now) -> slots, new EvenShares(() -> 1), settings), SECOND);
  }

  private static AdmissionBench bench(int slots) {
    return bench(slots, AdmissionSettings.DEFAULT);
  }

  @Test
  public void oneLargeTeamDoesNotStarveNineSmallOnes() {
    // The race gun: one team asks 800 drafts at once, then nine teams ask 20 each. First come first
    // served lets the small teams wait for the large one; fair shares let each team have its part.
    long[] worst = new long[2];
    Admission fair =
        new FairAdmission((l, n) -> 20, new EvenShares(() -> 1), AdmissionSettings.DEFAULT);
    Admission[] both = {new FifoAdmission(20, 5000), fair};
    for (int policy = 0; policy < both.length; policy++) {
      AdmissionBench bench = new AdmissionBench(both[policy], SECOND);
      for (int request = 0; request < 800; request++) {
        bench.ask("large" + request, LARGE, "", 5, LONG);
      }
      for (int request = 0; request < 180; request++) {
        Team team = AdmissionBench.team("small" + request % 9, Limits.NONE, 1);
        bench.ask("small" + request, team, "", 5, LONG);
      }
      bench.pass(Duration.ofSeconds(120));
      assertEquals(bench.started.size(), 980, "work is conserved");
      worst[policy] = bench.wait("small", 99);
      System.out.println(
          "admission: burst, "
              + (policy == 0 ? "first come" : "fair shares")
              + ": wait of nine small teams p50 "
              + bench.wait("small", 50)
              + " ms, p99 "
              + worst[policy]
              + " ms; of the large team p50 "
              + bench.wait("large", 50)
              + " ms, p99 "
              + bench.wait("large", 99)
              + " ms");
    }
    assertTrue(worst[1] * 2 <= worst[0], worst[1] + " against " + worst[0]);
  }

  @Test
  public void sharesByWeightAndUsesWhatOthersLeave() {
    AdmissionBench bench = bench(6);
    Team heavy = AdmissionBench.team("heavy", Limits.NONE, 2);
    for (int request = 0; request < 60; request++) {
      bench.ask("l" + request, LARGE, "", 5, LONG);
      bench.ask("h" + request, heavy, "", 5, LONG);
    }
    bench.started.clear();
    bench.pass(Duration.ofSeconds(10));
    long ofHeavy = bench.started.stream().filter(id -> id.startsWith("h")).count();
    assertTrue(Math.abs(ofHeavy - 40) <= 2, "heavy got " + ofHeavy + " of 60");
    bench.pass(Duration.ofSeconds(20));
    assertEquals(bench.waits.size(), 120, "an idle team's part is used by the others");
  }

  @Test
  public void ordersByPriorityThenDeadlineWithinTeam() {
    AdmissionBench bench = bench(1);
    bench.ask("running", LARGE, "", 5, LONG);
    bench.ask("late", LARGE, "", 5, LONG);
    bench.ask("soon", LARGE, "", 5, Duration.ofSeconds(30));
    bench.ask("urgent", LARGE, "", 0, LONG);
    bench.pass(Duration.ofSeconds(5));
    assertEquals(bench.started, List.of("running", "urgent", "soon", "late"));
  }

  @Test
  public void lookupsNeverWaitBehindDrafts() {
    // Every place for drafts is taken and more wait. A scoreboard's lookup has a lane of its own.
    AdmissionBench bench = bench(2);
    for (int request = 0; request < 50; request++) {
      bench.ask("d" + request, LARGE, "", 0, LONG);
    }
    assertEquals(bench.ask("l", LARGE, "chips", 9, LONG), Admission.Decision.ADMITTED);
    assertEquals(bench.ask("c", LARGE, "certificates", 9, LONG), Admission.Decision.ADMITTED);
  }

  @Test
  public void refusesEarlyWithTrueTimeToComeBack() {
    // The queue needs 25 s, the caller waits 5 s. It is refused at once, as not-run, and a resend
    // at the stated time is served within the same patience.
    AdmissionBench bench = bench(2);
    bench.ask("first", LARGE, "", 5, LONG);
    bench.pass(Duration.ofSeconds(2));
    for (int request = 0; request < 50; request++) {
      bench.ask("d" + request, LARGE, "", 5, LONG);
    }
    Duration patience = Duration.ofSeconds(5);
    assertEquals(bench.ask("late", LARGE, "", 6, patience), Admission.Decision.REFUSED);
    RoutingError error = bench.refused.get("late");
    assertEquals(error.runState(), RunState.NOT_RUN);
    bench.pass(Duration.ofMillis(error.retryAfterMillis()));
    assertEquals(bench.ask("again", LARGE, "", 6, patience), Admission.Decision.WAITING);
    bench.pass(patience);
    assertTrue(bench.started.contains("again"));
    assertTrue(error.retryAfterMillis() < 25_000, "not longer than needed");
  }

  @Test
  public void refusesExpiredWaitersAtOnce() {
    AdmissionBench bench = bench(1);
    bench.ask("running", LARGE, "", 5, LONG);
    bench.ask("w", LARGE, "", 5, Duration.ofMillis(100));
    bench.pass(Duration.ofMillis(100));
    assertEquals(bench.refused.get("w").kind(), ErrorKind.DEADLINE);
  }

  @Test
  public void keepsRateConcurrencyAndTokenLimits() {
    AdmissionBench bench = bench(1000);
    Team rated = AdmissionBench.team("rated", new Limits(5, 0, 0), 1);
    Team narrow = AdmissionBench.team("narrow", new Limits(0, 3, 0), 1);
    Team metered = AdmissionBench.team("metered", new Limits(0, 0, 1200), 1);
    for (int request = 0; request < 100; request++) {
      bench.ask("r" + request, rated, "", 5, LONG);
      bench.ask("n" + request, narrow, "", 5, LONG);
      bench.ask("m" + request, metered, "", 5, LONG);
    }
    bench.pass(Duration.ofSeconds(10));
    assertEquals(count(bench, "r"), 5 + 50);
    assertEquals(count(bench, "n"), 3 * 10, 3);
    assertEquals(count(bench, "m"), 12 + 2);
  }

  private static long count(AdmissionBench bench, String prefix) {
    return bench.started.stream().filter(id -> id.startsWith(prefix)).count();
  }

  @Test
  public void limitedTeamDoesNotBlockOthers() {
    AdmissionBench bench = bench(4);
    Team narrow = AdmissionBench.team("narrow", new Limits(0, 1, 0), 1);
    for (int request = 0; request < 10; request++) {
      bench.ask("n" + request, narrow, "", 0, LONG);
    }
    assertEquals(bench.ask("s", SMALL, "", 9, LONG), Admission.Decision.ADMITTED);
  }

  @Test
  public void boundsMemoryAndMakesRoomForSmallTeams() {
    // A large team fills the queue. A newcomer of a small team is not turned away for it: the last
    // of the large team is refused in its place, with the time to come back.
    AdmissionBench bench = bench(1, new AdmissionSettings(50, 100));
    for (int request = 0; request < 200; request++) {
      bench.ask("l" + request, LARGE, "", 5, LONG);
    }
    FairAdmission admission = (FairAdmission) bench.admission;
    assertEquals(admission.waiting(), 50);
    assertEquals(bench.ask("s", SMALL, "", 5, LONG), Admission.Decision.WAITING);
    assertEquals(admission.waiting(), 50);
    assertEquals(bench.refused.size(), 150);
  }

  @Test
  public void sharesLimitsEvenlyBetweenEntries() {
    Limits share =
        new EvenShares(() -> 9)
            .share(AdmissionBench.team("t", new Limits(90, 4, 900), 1), java.time.Instant.EPOCH);
    assertEquals(share, new Limits(10, 1, 100));
  }

  @Test
  public void givesEverythingBackInRandomRuns() {
    for (long seed = 0; seed < 20; seed++) {
      UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(seed);
      AdmissionBench bench = bench(1 + random.nextInt(5), new AdmissionSettings(40, 20));
      for (int request = 0; request < 1000; request++) {
        Limits limits = new Limits(random.nextInt(3) * 5, random.nextInt(3), 0);
        Team team = AdmissionBench.team("t" + random.nextInt(5), limits, 1 + random.nextInt(3));
        String service = random.nextBoolean() ? "" : "chips";
        Duration patience = Duration.ofMillis(random.nextInt(8000));
        bench.ask("r" + request, team, service, random.nextInt(10), patience);
        if (random.nextInt(10) == 0) {
          bench.admission.release("r" + random.nextInt(request + 1), 0, bench.now);
        }
        bench.pass(Duration.ofMillis(random.nextInt(5) * 20));
      }
      bench.pass(Duration.ofSeconds(30));
      FairAdmission admission = (FairAdmission) bench.admission;
      assertEquals(admission.waiting() + admission.running(), 0, "seed " + seed);
    }
  }
}
