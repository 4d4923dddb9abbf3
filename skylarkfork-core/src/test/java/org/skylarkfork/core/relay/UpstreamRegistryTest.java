package org.skylarkfork.core.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.message.RelayMessage.DirectoryChanges;
import org.skylarkfork.core.upstream.UpstreamRun;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of {@link UpstreamRegistry}. */
public final class UpstreamRegistryTest {

  private UpstreamRegistry registry =
      new UpstreamRegistry(RelayTimings.of(Duration.ofSeconds(5), Duration.ofSeconds(1)));

  /** Creates a new fixture for each test. */
  @BeforeMethod
  public void setUp() {
    registry = new UpstreamRegistry(RelayTimings.of(Duration.ofSeconds(5), Duration.ofSeconds(1)));
  }

  private static UpstreamInstance heartbeat(String id, String service, long sequence) {
    return new UpstreamInstance(id, service, "10.0.0.1:80", "a", "v1", 1, sequence, 0);
  }

  private static UpstreamInstance instanceOfRun(
      String id, String address, long sequence, long bornMillis) {
    return new UpstreamInstance(id, "one", address, "a", "v1", 1, sequence, bornMillis);
  }

  private String conditions() {
    StringBuilder text = new StringBuilder();
    for (UpstreamStatus status : registry.all(RelayFixture.START)) {
      text.append(status.instance().id()).append('=').append(status.condition()).append(' ');
    }
    return text.toString().trim();
  }

  /**
   * Guards against requests that reach another service: an upstream crashes, an upstream of another
   * service takes its address, and a delayed heartbeat of the first one arrives.
   */
  @Test
  public void delayedHeartbeatDoesNotRestoreAnEarlierRun() {
    registry.recordHeartbeat(heartbeat("old", "one", 4), false, RelayFixture.START);
    registry.recordHeartbeat(heartbeat("new", "two", 1), false, RelayFixture.START);
    registry.recordHeartbeat(heartbeat("old", "one", 5), false, RelayFixture.START);
    assertEquals(conditions(), "old=LEAVING new=READY");
  }

  /**
   * Guards against a restarted upstream that gets no requests: it has the same id, and the sequence
   * numbers of its heartbeats start again below the last known one.
   */
  @Test
  public void laterRunOfTheSameIdIsRecordedAndCanLeave() {
    registry.recordHeartbeat(
        instanceOfRun("up", "10.0.0.1:80", 40, 1000), false, RelayFixture.START);
    registry.markLeaving(new UpstreamRun("up", 1000));
    registry.recordHeartbeat(
        instanceOfRun("up", "10.0.0.1:80", 1, 2000), false, RelayFixture.START);
    assertEquals(conditions(), "up=READY");
    registry.markLeaving(new UpstreamRun("up", 1000));
    assertEquals(conditions(), "up=READY", "only the earlier run leaves");
    registry.markLeaving(new UpstreamRun("up", 2000));
    assertEquals(conditions(), "up=LEAVING");
  }

  /**
   * Guards against a delayed heartbeat of an earlier run that replaces the present run: it has a
   * higher sequence number, and its address may belong to another upstream by now.
   */
  @Test
  public void delayedHeartbeatOfAnEarlierRunChangesNothing() {
    registry.recordHeartbeat(
        instanceOfRun("up", "10.0.0.2:80", 1, 2000), false, RelayFixture.START);
    long before = registry.sequence();
    registry.recordHeartbeat(
        instanceOfRun("up", "10.0.0.1:80", 41, 1000), true, RelayFixture.START);
    assertEquals(registry.sequence(), before);
    assertEquals(registry.all(RelayFixture.START).get(0).instance().address(), "10.0.0.2:80");
  }

  /**
   * Guards against an address that goes back to a dead upstream: a new leader receives the
   * heartbeat of the present holder first and a delayed one of the earlier holder after it. Only
   * the start times distinguish the two.
   */
  @Test
  public void addressStaysWithItsYoungestHolder() {
    registry.recordHeartbeat(
        instanceOfRun("new", "10.0.0.1:80", 1, 2000), false, RelayFixture.START);
    registry.recordHeartbeat(
        instanceOfRun("old", "10.0.0.1:80", 9, 1000), false, RelayFixture.START);
    assertEquals(conditions(), "new=READY");
    registry.recordHeartbeat(
        instanceOfRun("old", "10.0.0.3:80", 1, 3000), false, RelayFixture.START);
    assertEquals(conditions(), "new=READY old=READY", "restarted at another address");
  }

  @Test
  public void heartbeatWithoutStartTimeDoesNotReplaceOneWithStartTime() {
    registry.recordHeartbeat(
        instanceOfRun("up", "10.0.0.1:80", 1, 2000), false, RelayFixture.START);
    registry.recordHeartbeat(instanceOfRun("up", "10.0.0.9:80", 50, 0), false, RelayFixture.START);
    registry.recordHeartbeat(
        instanceOfRun("other", "10.0.0.1:80", 50, 0), false, RelayFixture.START);
    assertEquals(registry.all(RelayFixture.START).size(), 1);
    assertEquals(registry.all(RelayFixture.START).get(0).instance().address(), "10.0.0.1:80");
  }

  @Test
  public void lateHeartbeatDoesNotUndoLeaving() {
    registry.recordHeartbeat(heartbeat("up", "one", 4), false, RelayFixture.START);
    registry.markLeaving(new UpstreamRun("up", 0));
    registry.recordHeartbeat(heartbeat("up", "one", 5), false, RelayFixture.START);
    assertEquals(conditions(), "up=LEAVING");
  }

  @Test
  public void silentUpstreamIsMarkedAndRecovers() {
    registry.recordHeartbeat(heartbeat("up", "one", 1), false, RelayFixture.START);
    registry.tick(RelayFixture.START.plusSeconds(4));
    assertEquals(conditions(), "up=SILENT");
    registry.recordHeartbeat(heartbeat("up", "one", 2), false, RelayFixture.START.plusSeconds(5));
    assertEquals(conditions(), "up=READY");
    registry.tick(RelayFixture.START.plusSeconds(70));
    assertEquals(conditions(), "");
  }

  @Test
  public void changesContainOnlyThoseAfterTheKnownSequence() {
    registry.recordHeartbeat(heartbeat("up", "one", 1), false, RelayFixture.START);
    long known = registry.sequence();
    assertEquals(registry.changes(7, true, 7, known, RelayFixture.START).upstreams(), List.of());
    registry.markLeaving(new UpstreamRun("up", 0));
    assertEquals(registry.changes(7, true, 7, known, RelayFixture.START).upstreams().size(), 1);
    assertEquals(registry.changes(8, true, 7, known, RelayFixture.START).whole(), true);
  }

  /**
   * Guards against full load on an upstream that turned cold while it ran. Neither its run nor its
   * condition changes; its heartbeat reports the cold time, and entries receive what remains of it.
   */
  @Test
  public void remainingColdTimeIsSent() {
    registry.recordHeartbeat(heartbeat("up", "one", 1), false, RelayFixture.START);
    long known = registry.sequence();
    registry.recordHeartbeat(
        heartbeat("up", "one", 2).withColdMillis(3000), false, RelayFixture.START);
    assertEquals(coldMillis(known, RelayFixture.START.plusMillis(1000)), 2000);
    long cold = registry.sequence();
    Instant next = RelayFixture.START.plusMillis(1200);
    registry.recordHeartbeat(heartbeat("up", "one", 3).withColdMillis(1790), false, next);
    assertEquals(registry.sequence(), cold, "the same end is not a change");
    registry.recordHeartbeat(heartbeat("up", "one", 4), false, next);
    assertEquals(coldMillis(cold, next), 0, "warm earlier than reported");
  }

  /**
   * Guards against full load on the upstreams of a restored zone: they turned cold without
   * requests, and their heartbeats report it only later.
   */
  @Test
  public void upstreamsOfRestoredZoneCountAsCold() {
    registry.recordHeartbeat(heartbeat("up", "one", 1), false, RelayFixture.START);
    long known = registry.sequence();
    registry.restoreZone("b", 3000, RelayFixture.START);
    assertEquals(registry.sequence(), known, "another zone");
    registry.restoreZone("a", 3000, RelayFixture.START);
    assertEquals(coldMillis(known, RelayFixture.START.plusMillis(500)), 2500);
    registry.recordHeartbeat(heartbeat("up", "one", 2), false, RelayFixture.START.plusMillis(600));
    assertEquals(coldMillis(known, RelayFixture.START.plusMillis(1000)), 2000, "a late heartbeat");
    assertEquals(coldMillis(known, RelayFixture.START.plusMillis(4000)), 0);
  }

  private long coldMillis(long after, Instant now) {
    DirectoryChanges changes = registry.changes(7, true, 7, after, now);
    assertEquals(changes.upstreams().size(), 1);
    return changes.upstreams().get(0).instance().coldMillis();
  }

  private boolean reportLimit(double perSecond, long ageMillis, Instant now) {
    ReportedLimit named = new ReportedLimit(new RateLimit(perSecond), ageMillis);
    return registry.recordRateLimit(new UpstreamRun("up", 0), named, "entry-1", now);
  }

  private @Nullable ReportedLimit sentLimit() {
    return registry.all(RelayFixture.START.plusSeconds(9)).get(0).named();
  }

  /** Guards against entries with an outdated limit that fell by steps too small to be sent. */
  @Test
  public void limitThatFallsBySmallStepsIsSent() {
    registry.recordHeartbeat(heartbeat("up", "one", 1), false, RelayFixture.START);
    assertTrue(reportLimit(10, 0, RelayFixture.START));
    assertFalse(reportLimit(9.5, 0, RelayFixture.START.plusSeconds(1)), "too small a change");
    assertTrue(reportLimit(8.9, 0, RelayFixture.START.plusSeconds(2)));
    assertEquals(registry.limitedUpstreams().get(0).perSecond(), 8.9);
    assertEquals(registry.limitedUpstreams().get(0).heardBy(), "entry-1");
  }

  /** Guards against a delayed report that replaces a newer one. */
  @Test
  public void newestReportOfLimitApplies() {
    registry.recordHeartbeat(heartbeat("up", "one", 1), false, RelayFixture.START);
    assertTrue(reportLimit(2, 0, RelayFixture.START.plusSeconds(5)));
    assertFalse(reportLimit(30, 700, RelayFixture.START.plusMillis(5200)));
    assertEquals(sentLimit(), new ReportedLimit(new RateLimit(2), 4000));
    assertTrue(reportLimit(Double.POSITIVE_INFINITY, 100, RelayFixture.START.plusSeconds(6)));
    assertEquals(registry.limitedUpstreams(), List.of());
  }

  /** Guards against a restarted upstream that keeps the rate limit of its earlier run. */
  @Test
  public void laterRunHasNoLimit() {
    registry.recordHeartbeat(heartbeat("up", "one", 1), false, RelayFixture.START);
    assertTrue(reportLimit(2, 0, RelayFixture.START));
    registry.recordHeartbeat(
        instanceOfRun("up", "10.0.0.1:80", 1, 1000), false, RelayFixture.START.plusSeconds(3));
    assertNull(sentLimit());
    assertFalse(
        reportLimit(2, 0, RelayFixture.START.plusSeconds(4)), "a report of the earlier run");
  }
}
