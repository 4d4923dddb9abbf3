package org.skylarkfork.core.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/**
 * Tests of the {@link ColdStartLimiter} implementations and of the total number of requests that
 * they allow.
 */
public final class ColdStartLimiterTest {

  private static final Instant START = RelayFixture.START;
  private static final double MAX_PER_SECOND = 18;
  private static final EngineProfile ENGINE = new EngineProfile(64, 100_000, List.of());
  private static final RelayService SERVICE =
      new RelayService("service", "/health", 100, ENGINE, new ColdStart(3000, MAX_PER_SECOND));

  private static RelayFixture.FakeView view(int entries, String... schedulers) {
    RelayFixture.FakeView view = new RelayFixture.FakeView();
    view.entries = entries;
    view.schedulers = List.of(schedulers);
    return view;
  }

  private static TrackedUpstream trackedUpstream(String id, Instant coldUntil) {
    UpstreamStatus status =
        new UpstreamStatus(RelayFixture.instance(id, "v1"), UpstreamCondition.READY);
    TrackedUpstream tracked = new TrackedUpstream(status);
    tracked.coldUntil(coldUntil);
    return tracked;
  }

  /** Sends as often as the limiter allows at one moment and returns the number of sends. */
  private static int sends(ColdStartLimiter limiter, TrackedUpstream tracked, Instant now) {
    int sent = 0;
    while (sent < 1000 && limiter.allows(SERVICE, tracked, now)) {
      tracked.recordSent(0, now);
      sent++;
    }
    return sent;
  }

  private static int sendsOfAllEntries(RelayFixture.FakeView view, String upstream) {
    int sum = 0;
    for (int entry = 0; entry < view.entries; entry++) {
      ColdStartLimiter limiter = new EntryColdStartLimiter(view, "entry-" + entry);
      sum += sends(limiter, trackedUpstream(upstream, START.plusSeconds(3)), START);
    }
    return sum;
  }

  /**
   * Guards against overloading a restarted upstream: all entries learn of its restart at the same
   * moment and can't coordinate, so each must stay within its own part.
   */
  @Test
  public void entriesTogetherStayWithinTheColdRate() {
    for (int entries : new int[] {1, 2, 5, 9, 18}) {
      int sum = sendsOfAllEntries(view(entries), "up");
      assertTrue(
          sum <= MAX_PER_SECOND && sum > MAX_PER_SECOND / 2, entries + " entries send " + sum);
    }
    for (int entries : new int[] {30, 55, 91, 520}) {
      int most = 0;
      int all = 0;
      for (int upstream = 0; upstream < 200; upstream++) {
        int sum = sendsOfAllEntries(view(entries, "scheduler"), "up-" + upstream);
        most = Math.max(most, sum);
        all += sum;
      }
      assertTrue(most <= 12, entries + " entries send " + most);
      assertTrue(all > 0, "some entry may send without a scheduler");
    }
  }

  @Test
  public void warmUpstreamsAndServicesWithoutBoundAreNotLimited() {
    ColdStartLimiter limiter = new EntryColdStartLimiter(view(55), "entry-1");
    assertEquals(sends(limiter, trackedUpstream("up", START), START), 1000);
    RelayService unbounded = new RelayService("service", "/health", 100, ENGINE);
    assertTrue(limiter.allows(unbounded, trackedUpstream("up", START.plusSeconds(3)), START));
  }

  @Test
  public void sendsLeaveTheWindow() {
    ColdStartLimiter limiter = new EntryColdStartLimiter(view(1), "entry-1");
    TrackedUpstream tracked = trackedUpstream("up", START.plusSeconds(3));
    assertEquals(sends(limiter, tracked, START), 18);
    assertEquals(sends(limiter, tracked, START.plusMillis(1000)), 0);
    assertEquals(sends(limiter, tracked, START.plusMillis(1200)), 18);
  }

  /**
   * After a crash of all daemons an entry knows no other entry yet. If it assumed to be the only
   * one, each of 55 entries would send the whole rate of a cold upstream.
   */
  @Test
  public void unsettledEntrySendsNothingToColdUpstreams() {
    RelayFixture.FakeView view = view(1);
    view.settled = false;
    ColdStartLimiter limiter = new EntryColdStartLimiter(view, "entry-1");
    assertFalse(limiter.allows(SERVICE, trackedUpstream("up", START.plusSeconds(3)), START));
    assertTrue(limiter.allows(SERVICE, trackedUpstream("warm", START), START));
  }

  /**
   * Guards against two schedulers of one group that together send twice the rate of a cold engine.
   * The new scheduler waits until the assignments of the previous one have left the window; the
   * previous one stops once it has no recent proof of being up to date, which is before it is
   * replaced because of its silence.
   */
  @Test
  public void newSchedulerStartsWithUsedUpWindow() {
    RelayFixture.FakeView view = view(55, "scheduler");
    SchedulerRole role = new SchedulerRole(view, "scheduler");
    SchedulerColdStartLimiter limiter = new SchedulerColdStartLimiter(role);
    role.tick(START);
    Instant soon = START.plusMillis(1400);
    assertEquals(sends(limiter, trackedUpstream("up", START.plusSeconds(9)), soon), 0);
    Instant later = START.plusMillis(1500);
    assertEquals(sends(limiter, trackedUpstream("up", START.plusSeconds(9)), later), 15);
    view.proofAge = Duration.ofMillis(1000);
    assertEquals(sends(limiter, trackedUpstream("up", START.plusSeconds(9)), later), 0, "cut off");
    view.proofAge = Duration.ZERO;
    view.schedulers = List.of("other");
    assertEquals(sends(limiter, trackedUpstream("up", START.plusSeconds(9)), later), 0, "replaced");
  }

  @Test
  public void schedulerAssignsItsOwnGroupOnly() {
    RelayFixture.FakeView view = view(55, "other", "scheduler");
    SchedulerRole role = new SchedulerRole(view, "scheduler");
    SchedulerColdStartLimiter limiter = new SchedulerColdStartLimiter(role);
    role.tick(START);
    Instant later = START.plusSeconds(2);
    List<Integer> sends = new ArrayList<>();
    for (int engine = 0; engine < 20; engine++) {
      sends.add(sends(limiter, trackedUpstream("up-" + engine, START.plusSeconds(9)), later));
    }
    assertTrue(sends.contains(0) && sends.contains(15), sends.toString());
  }

  /**
   * An engine may turn cold at any moment, and this becomes known one heartbeat later. An engine
   * that has received more than it could handle then is not preferred while there are others.
   */
  @Test
  public void engineAboveColdRateIsNotPreferred() {
    SchedulerColdStartLimiter limiter =
        new SchedulerColdStartLimiter(new SchedulerRole(view(55, "scheduler"), "scheduler"));
    TrackedUpstream tracked = trackedUpstream("up", START);
    for (int sent = 0; sent < 23; sent++) {
      assertFalse(limiter.exceedsColdRate(SERVICE, tracked, START), "after " + sent);
      tracked.recordSent(0, START);
    }
    assertTrue(limiter.exceedsColdRate(SERVICE, tracked, START));
    assertTrue(limiter.allows(SERVICE, tracked, START), "not preferred, but still allowed");
    assertFalse(limiter.exceedsColdRate(SERVICE, tracked, START.plusSeconds(2)));
  }
}
