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
  private static final Team LARGE = AdmissionSimulation.team("large", Limits.NONE, 1);
  private static final Team SMALL = AdmissionSimulation.team("small", Limits.NONE, 1);

  private static AdmissionSimulation simulation(int slots, AdmissionSettings settings) {
    return new AdmissionSimulation(
        new FairAdmission((lane, now) -> slots, new EvenShares(() -> 1), settings), SECOND);
  }

  private static AdmissionSimulation simulation(int slots) {
    return simulation(slots, AdmissionSettings.DEFAULT);
  }

  @Test
  public void oneLargeTeamDoesNotStarveNineSmallOnes() {
    // The race gun: one team asks 800 drafts at once, then nine teams ask 20 each. First come first
    // served lets the small teams wait for the large one; fair shares let each team have its part.
    long[] p99Waits = new long[2];
    Admission fair =
        new FairAdmission((l, n) -> 20, new EvenShares(() -> 1), AdmissionSettings.DEFAULT);
    Admission[] policies = {new FifoAdmission(20, 5000), fair};
    for (int policy = 0; policy < policies.length; policy++) {
      AdmissionSimulation simulation = new AdmissionSimulation(policies[policy], SECOND);
      for (int request = 0; request < 800; request++) {
        simulation.submit("large" + request, LARGE, "", 5, LONG);
      }
      for (int request = 0; request < 180; request++) {
        Team team = AdmissionSimulation.team("small" + request % 9, Limits.NONE, 1);
        simulation.submit("small" + request, team, "", 5, LONG);
      }
      simulation.advance(Duration.ofSeconds(120));
      assertEquals(simulation.started.size(), 980, "work is conserved");
      p99Waits[policy] = simulation.wait("small", 99);
      System.out.println(
          "admission: burst, "
              + (policy == 0 ? "first come" : "fair shares")
              + ": wait of nine small teams p50 "
              + simulation.wait("small", 50)
              + " ms, p99 "
              + p99Waits[policy]
              + " ms; of the large team p50 "
              + simulation.wait("large", 50)
              + " ms, p99 "
              + simulation.wait("large", 99)
              + " ms");
    }
    assertTrue(p99Waits[1] * 2 <= p99Waits[0], p99Waits[1] + " against " + p99Waits[0]);
  }

  @Test
  public void sharesByWeightAndReusesIdleCapacity() {
    AdmissionSimulation simulation = simulation(6);
    Team heavy = AdmissionSimulation.team("heavy", Limits.NONE, 2);
    for (int request = 0; request < 60; request++) {
      simulation.submit("l" + request, LARGE, "", 5, LONG);
      simulation.submit("h" + request, heavy, "", 5, LONG);
    }
    simulation.started.clear();
    simulation.advance(Duration.ofSeconds(10));
    long heavyStarts = simulation.started.stream().filter(id -> id.startsWith("h")).count();
    assertTrue(Math.abs(heavyStarts - 40) <= 2, "heavy got " + heavyStarts + " of 60");
    simulation.advance(Duration.ofSeconds(20));
    assertEquals(simulation.waits.size(), 120, "an idle team's part is used by the others");
  }

  @Test
  public void ordersByPriorityThenDeadlineWithinTeam() {
    AdmissionSimulation simulation = simulation(1);
    simulation.submit("running", LARGE, "", 5, LONG);
    simulation.submit("late", LARGE, "", 5, LONG);
    simulation.submit("soon", LARGE, "", 5, Duration.ofSeconds(30));
    simulation.submit("urgent", LARGE, "", 0, LONG);
    simulation.advance(Duration.ofSeconds(5));
    assertEquals(simulation.started, List.of("running", "urgent", "soon", "late"));
  }

  @Test
  public void lookupsDoNotWaitBehindDrafts() {
    // Every place for drafts is taken and more wait. A scoreboard's lookup has a lane of its own.
    AdmissionSimulation simulation = simulation(2);
    for (int request = 0; request < 50; request++) {
      simulation.submit("d" + request, LARGE, "", 0, LONG);
    }
    assertEquals(simulation.submit("l", LARGE, "chips", 9, LONG), Admission.Decision.ADMITTED);
    assertEquals(
        simulation.submit("c", LARGE, "certificates", 9, LONG), Admission.Decision.ADMITTED);
  }

  @Test
  public void refusesEarlyWithAccurateRetryTime() {
    // The queue needs 25 s, the caller waits 5 s. It is refused at once, as not-run, and a resend
    // at the stated time is served within the same patience.
    AdmissionSimulation simulation = simulation(2);
    simulation.submit("first", LARGE, "", 5, LONG);
    simulation.advance(Duration.ofSeconds(2));
    for (int request = 0; request < 50; request++) {
      simulation.submit("d" + request, LARGE, "", 5, LONG);
    }
    Duration timeout = Duration.ofSeconds(5);
    assertEquals(simulation.submit("late", LARGE, "", 6, timeout), Admission.Decision.REFUSED);
    RoutingError error = simulation.refused.get("late");
    assertEquals(error.runState(), RunState.NOT_RUN);
    simulation.advance(Duration.ofMillis(error.retryAfterMillis()));
    assertEquals(simulation.submit("again", LARGE, "", 6, timeout), Admission.Decision.WAITING);
    simulation.advance(timeout);
    assertTrue(simulation.started.contains("again"));
    assertTrue(error.retryAfterMillis() < 25_000, "not longer than needed");
  }

  @Test
  public void refusesExpiredQueuedRequestsAtOnce() {
    AdmissionSimulation simulation = simulation(1);
    simulation.submit("running", LARGE, "", 5, LONG);
    simulation.submit("w", LARGE, "", 5, Duration.ofMillis(100));
    simulation.advance(Duration.ofMillis(100));
    assertEquals(simulation.refused.get("w").kind(), ErrorKind.DEADLINE);
  }

  @Test
  public void enforcesRateConcurrencyAndTokenLimits() {
    AdmissionSimulation simulation = simulation(1000);
    Team rated = AdmissionSimulation.team("rated", new Limits(5, 0, 0), 1);
    Team narrow = AdmissionSimulation.team("narrow", new Limits(0, 3, 0), 1);
    Team metered = AdmissionSimulation.team("metered", new Limits(0, 0, 1200), 1);
    for (int request = 0; request < 100; request++) {
      simulation.submit("r" + request, rated, "", 5, LONG);
      simulation.submit("n" + request, narrow, "", 5, LONG);
      simulation.submit("m" + request, metered, "", 5, LONG);
    }
    simulation.advance(Duration.ofSeconds(10));
    assertEquals(count(simulation, "r"), 5 + 50);
    assertEquals(count(simulation, "n"), 3 * 10, 3);
    assertEquals(count(simulation, "m"), 12 + 2);
  }

  private static long count(AdmissionSimulation simulation, String prefix) {
    return simulation.started.stream().filter(id -> id.startsWith(prefix)).count();
  }

  @Test
  public void limitedTeamDoesNotBlockOthers() {
    AdmissionSimulation simulation = simulation(4);
    Team narrow = AdmissionSimulation.team("narrow", new Limits(0, 1, 0), 1);
    for (int request = 0; request < 10; request++) {
      simulation.submit("n" + request, narrow, "", 0, LONG);
    }
    assertEquals(simulation.submit("s", SMALL, "", 9, LONG), Admission.Decision.ADMITTED);
  }

  @Test
  public void boundsQueueAndEvictsFromLargestTeam() {
    // A large team fills the queue. A newcomer of a small team is not turned away for it: the last
    // of the large team is refused in its place, with the time to come back.
    AdmissionSimulation simulation = simulation(1, new AdmissionSettings(50, 100));
    for (int request = 0; request < 200; request++) {
      simulation.submit("l" + request, LARGE, "", 5, LONG);
    }
    FairAdmission admission = (FairAdmission) simulation.admission;
    assertEquals(admission.waiting(), 50);
    assertEquals(simulation.submit("s", SMALL, "", 5, LONG), Admission.Decision.WAITING);
    assertEquals(admission.waiting(), 50);
    assertEquals(simulation.refused.size(), 150);
  }

  @Test
  public void sharesLimitsEvenlyBetweenEntries() {
    Limits share =
        new EvenShares(() -> 9)
            .share(
                AdmissionSimulation.team("t", new Limits(90, 4, 900), 1), java.time.Instant.EPOCH);
    assertEquals(share, new Limits(10, 1, 100));
  }

  @Test
  public void releasesAllCapacityInRandomRuns() {
    for (long seed = 0; seed < 20; seed++) {
      UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(seed);
      AdmissionSimulation simulation =
          simulation(1 + random.nextInt(5), new AdmissionSettings(40, 20));
      for (int request = 0; request < 1000; request++) {
        Limits limits = new Limits(random.nextInt(3) * 5, random.nextInt(3), 0);
        Team team =
            AdmissionSimulation.team("t" + random.nextInt(5), limits, 1 + random.nextInt(3));
        String service = random.nextBoolean() ? "" : "chips";
        Duration timeout = Duration.ofMillis(random.nextInt(8000));
        simulation.submit("r" + request, team, service, random.nextInt(10), timeout);
        if (random.nextInt(10) == 0) {
          simulation.admission.release("r" + random.nextInt(request + 1), 0, simulation.now);
        }
        simulation.advance(Duration.ofMillis(random.nextInt(5) * 20));
      }
      simulation.advance(Duration.ofSeconds(30));
      FairAdmission admission = (FairAdmission) simulation.admission;
      assertEquals(admission.waiting() + admission.running(), 0, "seed " + seed);
    }
  }
}
