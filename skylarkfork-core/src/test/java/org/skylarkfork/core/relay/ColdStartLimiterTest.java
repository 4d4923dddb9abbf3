package org.skylarkfork.core.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** Tests of the {@link ColdStartLimiter}s and of the sum of what they let through. */
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

  private static TrackedUpstream track(String id, Instant coldUntil) {
    UpstreamStatus status =
        new UpstreamStatus(RelayFixture.instance(id, "v1"), UpstreamCondition.READY);
    TrackedUpstream track = new TrackedUpstream(status);
    track.coldUntil(coldUntil);
    return track;
  }

  /** Sends as often as the limiter allows at one moment, and returns how often that was. */
  private static int sends(ColdStartLimiter limiter, TrackedUpstream track, Instant now) {
    int sent = 0;
    while (sent < 1000 && limiter.allows(SERVICE, track, now)) {
      track.recordSent(0, now);
      sent++;
    }
    return sent;
  }

  private static int sendsOfAllEntries(RelayFixture.FakeView view, String upstream) {
    int sum = 0;
    for (int entry = 0; entry < view.entries; entry++) {
      ColdStartLimiter limiter = new EntryColdStartLimiter(view, "entry-" + entry);
      sum += sends(limiter, track(upstream, START.plusSeconds(3)), START);
    }
    return sum;
  }

  /**
   * An upstream falls over again if all entries send to it as soon as it is back. They know of it
   * in the same moment and can't ask each other; each keeps its own part.
   */
  @Test
  public void entriesTogetherStayWithinWhatColdUpstreamsBear() {
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
      assertTrue(all > 0, "some entry may try it without a scheduler");
    }
  }

  @Test
  public void warmUpstreamsAndServicesWithoutBoundAreNotLimited() {
    ColdStartLimiter limiter = new EntryColdStartLimiter(view(55), "entry-1");
    assertEquals(sends(limiter, track("up", START), START), 1000);
    RelayService unbounded = new RelayService("service", "/health", 100, ENGINE);
    assertTrue(limiter.allows(unbounded, track("up", START.plusSeconds(3)), START));
  }

  @Test
  public void windowMovesOn() {
    ColdStartLimiter limiter = new EntryColdStartLimiter(view(1), "entry-1");
    TrackedUpstream track = track("up", START.plusSeconds(3));
    assertEquals(sends(limiter, track, START), 18);
    assertEquals(sends(limiter, track, START.plusMillis(1000)), 0);
    assertEquals(sends(limiter, track, START.plusMillis(1200)), 18);
  }

  /**
   * After a crash of everything an entry knows of no other one yet. Thinking that it is alone, each
   * of 55 would send all that a cold upstream bears.
   */
  @Test
  public void entryThatIsNotSettledSendsNothingToColdUpstreams() {
    RelayFixture.FakeView view = view(1);
    view.settled = false;
    ColdStartLimiter limiter = new EntryColdStartLimiter(view, "entry-1");
    assertFalse(limiter.allows(SERVICE, track("up", START.plusSeconds(3)), START));
    assertTrue(limiter.allows(SERVICE, track("warm", START), START));
  }

  /**
   * Two schedulers of one group would send twice what a cold engine bears. The new one waits until
   * what the one before gave out has left the window; the one before stops once it isn't proven to
   * be up to date, which is before it is replaced for its silence.
   */
  @Test
  public void schedulerThatTakesOverStartsFromUsedUpWindow() {
    RelayFixture.FakeView view = view(55, "scheduler");
    SchedulerRole role = new SchedulerRole(view, "scheduler");
    SchedulerColdStartLimiter limiter = new SchedulerColdStartLimiter(role);
    role.tick(START);
    Instant soon = START.plusMillis(1400);
    assertEquals(sends(limiter, track("up", START.plusSeconds(9)), soon), 0);
    Instant later = START.plusMillis(1500);
    assertEquals(sends(limiter, track("up", START.plusSeconds(9)), later), 15);
    view.proofAge = Duration.ofMillis(1000);
    assertEquals(sends(limiter, track("up", START.plusSeconds(9)), later), 0, "cut off");
    view.proofAge = Duration.ZERO;
    view.schedulers = List.of("other");
    assertEquals(sends(limiter, track("up", START.plusSeconds(9)), later), 0, "replaced");
  }

  @Test
  public void schedulerGivesOutItsOwnGroupOnly() {
    RelayFixture.FakeView view = view(55, "other", "scheduler");
    SchedulerRole role = new SchedulerRole(view, "scheduler");
    SchedulerColdStartLimiter limiter = new SchedulerColdStartLimiter(role);
    role.tick(START);
    Instant later = START.plusSeconds(2);
    List<Integer> sends = new ArrayList<>();
    for (int engine = 0; engine < 20; engine++) {
      sends.add(sends(limiter, track("up-" + engine, START.plusSeconds(9)), later));
    }
    assertTrue(sends.contains(0) && sends.contains(15), sends.toString());
  }

  /**
   * An engine may turn cold at any moment, and is known to be a heartbeat later. One that has had
   * more than it would bear then is passed over while there are others.
   */
  @Test
  public void engineThatWouldFallOverIfItTurnedColdIsCrowded() {
    SchedulerColdStartLimiter limiter =
        new SchedulerColdStartLimiter(new SchedulerRole(view(55, "scheduler"), "scheduler"));
    TrackedUpstream track = track("up", START);
    for (int sent = 0; sent < 23; sent++) {
      assertFalse(limiter.exceedsColdRate(SERVICE, track, START), "after " + sent);
      track.recordSent(0, START);
    }
    assertTrue(limiter.exceedsColdRate(SERVICE, track, START));
    assertTrue(limiter.allows(SERVICE, track, START), "but not refused");
    assertFalse(limiter.exceedsColdRate(SERVICE, track, START.plusSeconds(2)));
  }
}
