package org.skylarkfork.core.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests of {@link RateLimiter} and of the sum of the parts that each {@link RateDivision} assigns.
 */
public final class RateLimiterTest {

  private static final Instant START = RelayFixture.START;
  private static final String SCHEDULER = "scheduler";
  private static final EngineProfile ENGINE = new EngineProfile(64, 100_000, List.of());
  private static final RelayService ENGINE_SERVICE =
      new RelayService("service", "/health", 100, ENGINE);
  private static final RelayService PLAIN_SERVICE =
      new RelayService("service", "/health", 100, null);

  private static RelayFixture.FakeView view(int number, int of, String... schedulers) {
    RelayFixture.FakeView view = new RelayFixture.FakeView();
    view.entryOrdinal = new EntryOrdinal(number, of);
    view.schedulers = List.of(schedulers);
    return view;
  }

  private static TrackedUpstream upstream(String id, double perSecond) {
    UpstreamStatus status =
        new UpstreamStatus(RelayFixture.instance(id, "v1"), UpstreamCondition.READY);
    TrackedUpstream upstream = new TrackedUpstream(status);
    upstream.rate().recordLimit(new RateLimit(perSecond), START);
    return upstream;
  }

  private static RateShare schedulersShare(TrackedUpstream upstream) {
    SchedulerRole role = new SchedulerRole(view(0, 75, SCHEDULER), SCHEDULER);
    role.tick(START);
    return new SchedulerRateDivision(role).share(ENGINE_SERVICE, upstream, START.plusSeconds(2));
  }

  /** Number of entries, whether a scheduler places requests, and a limit. */
  @DataProvider
  public Object[][] limits() {
    Object[][] limits = new Object[6 * 2 * 7][];
    int index = 0;
    for (int entries : new int[] {1, 2, 7, 10, 75, 520}) {
      for (boolean scheduled : new boolean[] {false, true}) {
        for (double limit : new double[] {0, 0.1, 0.5, 2.3, 6, 50, 1e300}) {
          limits[index++] = new Object[] {entries, scheduled, limit};
        }
      }
    }
    return limits;
  }

  /** Guards against parts of the daemons that add up to more than an upstream accepts. */
  @Test(dataProvider = "limits")
  public void partsAddUpToTheLimitOfTheUpstream(int entries, boolean scheduled, double perSecond) {
    TrackedUpstream upstream = upstream("up", perSecond);
    double rates = scheduled ? schedulersShare(upstream).perSecond() : 0;
    double bursts = scheduled ? schedulersShare(upstream).burst() : 0;
    for (int number = 0; number < entries; number++) {
      String[] schedulers = scheduled ? new String[] {SCHEDULER} : new String[0];
      RateDivision division = new EntryRateDivision(view(number, entries, schedulers));
      RateShare share = division.share(ENGINE_SERVICE, upstream, START);
      rates += share.perSecond();
      bursts += share.isNone() ? 0 : share.burst();
    }
    double expectedRate = Math.max(perSecond, RateDivision.MIN_PER_SECOND);
    assertEquals(rates, expectedRate, 1e-9 * expectedRate);
    assertTrue(bursts <= (1 + 1e-9) * (4 + 1.5 * perSecond), "at once: " + bursts);
    double inFourSeconds = bursts + 4 * rates;
    assertTrue(inFourSeconds <= (1 + 1e-9) * (6 * perSecond + 5), "in 4 s: " + inFourSeconds);
  }

  @Test
  public void entryWithoutOrdinalSendsNothingToLimitedUpstreams() {
    RateLimiter limiter = new RateLimiter(new EntryRateDivision(view(0, 0)));
    assertFalse(limiter.allows(PLAIN_SERVICE, upstream("up", 5), START.plusSeconds(60)));
    assertTrue(limiter.allows(PLAIN_SERVICE, upstream("up", Double.POSITIVE_INFINITY), START));
  }

  @Test
  public void waitUntilTheNextRequestIsReported() {
    RateLimiter limiter = new RateLimiter(new EntryRateDivision(view(0, 1)));
    TrackedUpstream upstream = upstream("up", 0.5);
    assertEquals(limiter.timeUntilAllowed(PLAIN_SERVICE, upstream, START), Duration.ofSeconds(2));
    assertEquals(
        limiter.timeUntilAllowed(PLAIN_SERVICE, upstream, START.plusSeconds(2)), Duration.ZERO);
    limiter.recordSent(PLAIN_SERVICE, upstream, START.plusSeconds(2));
    assertEquals(
        limiter.timeUntilAllowed(PLAIN_SERVICE, upstream, START.plusMillis(2500)),
        Duration.ofMillis(1500));
  }

  /**
   * Guards against sends that are allowed twice if a part is removed and assigned again as other
   * entries stop and start.
   */
  @Test
  public void reassignedPartBeginsEmpty() {
    RelayFixture.FakeView view = view(0, 1);
    RateLimiter limiter = new RateLimiter(new EntryRateDivision(view));
    TrackedUpstream upstream = upstream("up", 1);
    assertFalse(limiter.allows(PLAIN_SERVICE, upstream, START));
    assertTrue(limiter.allows(PLAIN_SERVICE, upstream, START.plusSeconds(9)));
    view.entryOrdinal = EntryOrdinal.UNKNOWN;
    assertFalse(limiter.allows(PLAIN_SERVICE, upstream, START.plusSeconds(10)));
    view.entryOrdinal = new EntryOrdinal(0, 1);
    assertFalse(limiter.allows(PLAIN_SERVICE, upstream, START.plusSeconds(11)));
    assertTrue(limiter.allows(PLAIN_SERVICE, upstream, START.plusSeconds(12)));
  }

  private static int entriesOfTwoThatSendAfterSecond(boolean knownFromTheStart) {
    int send = 0;
    for (int number = 0; number < 2; number++) {
      RelayFixture.FakeView view = view(0, 0);
      RateLimiter limiter = new RateLimiter(new EntryRateDivision(view));
      TrackedUpstream upstream = upstream("up", 1);
      if (!knownFromTheStart) {
        limiter.allows(PLAIN_SERVICE, upstream, START);
      }
      view.entryOrdinal = new EntryOrdinal(number, 2);
      limiter.allows(PLAIN_SERVICE, upstream, START);
      send += limiter.allows(PLAIN_SERVICE, upstream, START.plusSeconds(1)) ? 1 : 0;
    }
    return send;
  }

  /** Guards against entries that receive parts of other entries that have just used them up. */
  @Test
  public void laterPartBeginsEmpty() {
    assertEquals(entriesOfTwoThatSendAfterSecond(true), 1);
    assertEquals(entriesOfTwoThatSendAfterSecond(false), 0);
  }
}
