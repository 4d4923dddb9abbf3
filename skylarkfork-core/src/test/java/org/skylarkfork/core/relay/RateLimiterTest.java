package org.skylarkfork.core.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link RateLimiter} and of the {@link RateDivision}s: what all parts add up to. */
public final class RateLimiterTest {

  private static final Instant START = RelayFixture.START;
  private static final String SCHEDULER = "scheduler";
  private static final EngineProfile ENGINE = new EngineProfile(64, 100_000, List.of());
  private static final RelayService ENGINES = new RelayService("service", "/health", 100, ENGINE);
  private static final RelayService PLAIN = new RelayService("service", "/health", 100, null);

  private static RelayFixture.FakeView view(int number, int of, String... schedulers) {
    RelayFixture.FakeView view = new RelayFixture.FakeView();
    view.place = new EntryOrdinal(number, of);
    view.schedulers = List.of(schedulers);
    return view;
  }

  private static TrackedUpstream track(String id, double perSecond) {
    UpstreamStatus status =
        new UpstreamStatus(RelayFixture.instance(id, "v1"), UpstreamCondition.READY);
    TrackedUpstream track = new TrackedUpstream(status);
    track.rate().recordLimit(new RateLimit(perSecond), START);
    return track;
  }

  private static RateShare schedulersShare(TrackedUpstream track) {
    SchedulerRole role = new SchedulerRole(view(0, 75, SCHEDULER), SCHEDULER);
    role.tick(START);
    return new SchedulerRateDivision(role).share(ENGINES, track, START.plusSeconds(2));
  }

  /** Entries, whether a scheduler places, and a limit. */
  @DataProvider
  public Object[][] limits() {
    Object[][] limits = new Object[6 * 2 * 7][];
    int place = 0;
    for (int entries : new int[] {1, 2, 7, 10, 75, 520}) {
      for (boolean scheduled : new boolean[] {false, true}) {
        for (double limit : new double[] {0, 0.1, 0.5, 2.3, 6, 50, 1e300}) {
          limits[place++] = new Object[] {entries, scheduled, limit};
        }
      }
    }
    return limits;
  }

  /** Guards against parts of daemons that add up to more than an upstream takes. */
  @Test(dataProvider = "limits")
  public void partsAddUpToTheLimit(int entries, boolean scheduled, double perSecond) {
    TrackedUpstream track = track("up", perSecond);
    double rates = scheduled ? schedulersShare(track).perSecond() : 0;
    double bursts = scheduled ? schedulersShare(track).burst() : 0;
    for (int number = 0; number < entries; number++) {
      String[] schedulers = scheduled ? new String[] {SCHEDULER} : new String[0];
      RateDivision division = new EntryRateDivision(view(number, entries, schedulers));
      RateShare share = division.share(ENGINES, track, START);
      rates += share.perSecond();
      bursts += share.isNone() ? 0 : share.burst();
    }
    double meant = Math.max(perSecond, RateDivision.MIN_PER_SECOND);
    assertEquals(rates, meant, 1e-9 * meant);
    assertTrue(bursts <= (1 + 1e-9) * (4 + 1.5 * perSecond), "at once: " + bursts);
    double inFourSeconds = bursts + 4 * rates;
    assertTrue(inFourSeconds <= (1 + 1e-9) * (6 * perSecond + 5), "in 4 s: " + inFourSeconds);
  }

  @Test
  public void entryWithoutNumberSendsNothingToLimitedUpstreams() {
    RateLimiter limiter = new RateLimiter(new EntryRateDivision(view(0, 0)));
    assertFalse(limiter.allows(PLAIN, track("up", 5), START.plusSeconds(60)));
    assertTrue(limiter.allows(PLAIN, track("up", Double.POSITIVE_INFINITY), START));
  }

  @Test
  public void callersAreToldWhenTheNextRequestIsTaken() {
    RateLimiter limiter = new RateLimiter(new EntryRateDivision(view(0, 1)));
    TrackedUpstream track = track("up", 0.5);
    assertEquals(limiter.timeUntilAllowed(PLAIN, track, START), Duration.ofSeconds(2));
    assertEquals(limiter.timeUntilAllowed(PLAIN, track, START.plusSeconds(2)), Duration.ZERO);
    limiter.recordSent(PLAIN, track, START.plusSeconds(2));
    assertEquals(
        limiter.timeUntilAllowed(PLAIN, track, START.plusMillis(2500)), Duration.ofMillis(1500));
  }

  /** Guards against sends that are allowed twice as a part comes and goes with other entries. */
  @Test
  public void partThatComesBackBeginsEmpty() {
    RelayFixture.FakeView view = view(0, 1);
    RateLimiter limiter = new RateLimiter(new EntryRateDivision(view));
    TrackedUpstream track = track("up", 1);
    assertFalse(limiter.allows(PLAIN, track, START));
    assertTrue(limiter.allows(PLAIN, track, START.plusSeconds(9)));
    view.place = EntryOrdinal.UNKNOWN;
    assertFalse(limiter.allows(PLAIN, track, START.plusSeconds(10)));
    view.place = new EntryOrdinal(0, 1);
    assertFalse(limiter.allows(PLAIN, track, START.plusSeconds(11)));
    assertTrue(limiter.allows(PLAIN, track, START.plusSeconds(12)));
  }

  private static int entriesOfTwoThatSendAfterSecond(boolean knownFromTheStart) {
    int send = 0;
    for (int number = 0; number < 2; number++) {
      RelayFixture.FakeView view = view(0, 0);
      RateLimiter limiter = new RateLimiter(new EntryRateDivision(view));
      TrackedUpstream track = track("up", 1);
      if (!knownFromTheStart) {
        limiter.allows(PLAIN, track, START);
      }
      view.place = new EntryOrdinal(number, 2);
      limiter.allows(PLAIN, track, START);
      send += limiter.allows(PLAIN, track, START.plusSeconds(1)) ? 1 : 0;
    }
    return send;
  }

  /** Guards against entries that get parts of others, which have just used these up. */
  @Test
  public void partThatComesLaterBeginsEmpty() {
    assertEquals(entriesOfTwoThatSendAfterSecond(true), 1);
    assertEquals(entriesOfTwoThatSendAfterSecond(false), 0);
  }
}
