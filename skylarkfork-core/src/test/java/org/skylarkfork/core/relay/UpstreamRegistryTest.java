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

  /** Each test begins anew. */
  @BeforeMethod
  public void setUp() {
    registry = new UpstreamRegistry(RelayTimings.of(Duration.ofSeconds(5), Duration.ofSeconds(1)));
  }

  private static UpstreamInstance beat(String id, String service, long sequence) {
    return new UpstreamInstance(id, service, "10.0.0.1:80", "a", "v1", 1, sequence, 0);
  }

  private static UpstreamInstance started(
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
   * Callers of one service would reach another. An upstream crashed, another service took its
   * address, and only then a held-up heartbeat of the first one arrives.
   */
  @Test
  public void lateHeartbeatDoesNotBringAnEarlierRunBack() {
    registry.recordHeartbeat(beat("old", "one", 4), false, RelayFixture.START);
    registry.recordHeartbeat(beat("new", "two", 1), false, RelayFixture.START);
    registry.recordHeartbeat(beat("old", "one", 5), false, RelayFixture.START);
    assertEquals(conditions(), "old=LEAVING new=READY");
  }

  /**
   * Callers would get nothing from an upstream that has come back. It crashed, started again under
   * its id and counts its heartbeats anew, so that their numbers are below the last one known.
   */
  @Test
  public void laterStartUnderTheSameIdIsHeardAndLeavesAnew() {
    registry.recordHeartbeat(started("up", "10.0.0.1:80", 40, 1000), false, RelayFixture.START);
    registry.markLeaving(new UpstreamRun("up", 1000));
    registry.recordHeartbeat(started("up", "10.0.0.1:80", 1, 2000), false, RelayFixture.START);
    assertEquals(conditions(), "up=READY");
    registry.markLeaving(new UpstreamRun("up", 1000));
    assertEquals(conditions(), "up=READY", "it was said of the earlier start");
    registry.markLeaving(new UpstreamRun("up", 2000));
    assertEquals(conditions(), "up=LEAVING");
  }

  /**
   * A late heartbeat of the start before must not take the place of the one that serves: it has the
   * higher number, and the address that the upstream had then may be another's by now.
   */
  @Test
  public void lateHeartbeatOfAnEarlierStartChangesNothing() {
    registry.recordHeartbeat(started("up", "10.0.0.2:80", 1, 2000), false, RelayFixture.START);
    long before = registry.sequence();
    registry.recordHeartbeat(started("up", "10.0.0.1:80", 41, 1000), true, RelayFixture.START);
    assertEquals(registry.sequence(), before);
    assertEquals(registry.all(RelayFixture.START).get(0).instance().address(), "10.0.0.2:80");
  }

  /**
   * A new leader hears the present holder of an address first and the dead one's held-up heartbeat
   * after it. Callers of the present one must still reach it; only the starts tell the two apart.
   */
  @Test
  public void addressStaysWithItsYoungestHolder() {
    registry.recordHeartbeat(started("new", "10.0.0.1:80", 1, 2000), false, RelayFixture.START);
    registry.recordHeartbeat(started("old", "10.0.0.1:80", 9, 1000), false, RelayFixture.START);
    assertEquals(conditions(), "new=READY");
    registry.recordHeartbeat(started("old", "10.0.0.3:80", 1, 3000), false, RelayFixture.START);
    assertEquals(conditions(), "new=READY old=READY", "started again elsewhere");
  }

  @Test
  public void heartbeatWithoutStartDoesNotReplaceOneThatSaysIt() {
    registry.recordHeartbeat(started("up", "10.0.0.1:80", 1, 2000), false, RelayFixture.START);
    registry.recordHeartbeat(started("up", "10.0.0.9:80", 50, 0), false, RelayFixture.START);
    registry.recordHeartbeat(started("other", "10.0.0.1:80", 50, 0), false, RelayFixture.START);
    assertEquals(registry.all(RelayFixture.START).size(), 1);
    assertEquals(registry.all(RelayFixture.START).get(0).instance().address(), "10.0.0.1:80");
  }

  @Test
  public void lateHeartbeatDoesNotUndoLeaving() {
    registry.recordHeartbeat(beat("up", "one", 4), false, RelayFixture.START);
    registry.markLeaving(new UpstreamRun("up", 0));
    registry.recordHeartbeat(beat("up", "one", 5), false, RelayFixture.START);
    assertEquals(conditions(), "up=LEAVING");
  }

  @Test
  public void silentUpstreamIsMarkedAndComesBack() {
    registry.recordHeartbeat(beat("up", "one", 1), false, RelayFixture.START);
    registry.tick(RelayFixture.START.plusSeconds(4));
    assertEquals(conditions(), "up=SILENT");
    registry.recordHeartbeat(beat("up", "one", 2), false, RelayFixture.START.plusSeconds(5));
    assertEquals(conditions(), "up=READY");
    registry.tick(RelayFixture.START.plusSeconds(70));
    assertEquals(conditions(), "");
  }

  @Test
  public void changesSinceKnownNumberAreOnlyThose() {
    registry.recordHeartbeat(beat("up", "one", 1), false, RelayFixture.START);
    long known = registry.sequence();
    assertEquals(registry.changes(7, true, 7, known, RelayFixture.START).upstreams(), List.of());
    registry.markLeaving(new UpstreamRun("up", 0));
    assertEquals(registry.changes(7, true, 7, known, RelayFixture.START).upstreams().size(), 1);
    assertEquals(registry.changes(8, true, 7, known, RelayFixture.START).whole(), true);
  }

  /**
   * Entries would send a cold upstream as much as a warm one. It turned cold under way, so that
   * neither its start nor its condition tells; its heartbeat does, and entries are told what is
   * left of that time.
   */
  @Test
  public void upstreamThatTurnsColdIsToldWithWhatIsLeft() {
    registry.recordHeartbeat(beat("up", "one", 1), false, RelayFixture.START);
    long known = registry.sequence();
    registry.recordHeartbeat(beat("up", "one", 2).withColdMillis(3000), false, RelayFixture.START);
    assertEquals(coldMillis(known, RelayFixture.START.plusMillis(1000)), 2000);
    long cold = registry.sequence();
    Instant next = RelayFixture.START.plusMillis(1200);
    registry.recordHeartbeat(beat("up", "one", 3).withColdMillis(1790), false, next);
    assertEquals(registry.sequence(), cold, "the same end is no news");
    registry.recordHeartbeat(beat("up", "one", 4), false, next);
    assertEquals(coldMillis(cold, next), 0, "warm earlier than it said");
  }

  /**
   * Upstreams of a zone that is taken back fall over under their share of the work. They turned
   * cold while they got nothing, and their heartbeats tell it only later.
   */
  @Test
  public void upstreamsOfZoneThatIsTakenBackCountAsCold() {
    registry.recordHeartbeat(beat("up", "one", 1), false, RelayFixture.START);
    long known = registry.sequence();
    registry.restoreZone("b", 3000, RelayFixture.START);
    assertEquals(registry.sequence(), known, "another zone");
    registry.restoreZone("a", 3000, RelayFixture.START);
    assertEquals(coldMillis(known, RelayFixture.START.plusMillis(500)), 2500);
    registry.recordHeartbeat(beat("up", "one", 2), false, RelayFixture.START.plusMillis(600));
    assertEquals(coldMillis(known, RelayFixture.START.plusMillis(1000)), 2000, "a late heartbeat");
    assertEquals(coldMillis(known, RelayFixture.START.plusMillis(4000)), 0);
  }

  private long coldMillis(long after, Instant now) {
    DirectoryChanges changes = registry.changes(7, true, 7, after, now);
    assertEquals(changes.upstreams().size(), 1);
    return changes.upstreams().get(0).instance().coldMillis();
  }

  private boolean named(double perSecond, long ageMillis, Instant now) {
    ReportedLimit named = new ReportedLimit(new RateLimit(perSecond), ageMillis);
    return registry.recordRateLimit(new UpstreamRun("up", 0), named, "entry-1", now);
  }

  private @Nullable ReportedLimit told() {
    return registry.all(RelayFixture.START.plusSeconds(9)).get(0).named();
  }

  /** Guards against entries that go on by a limit which fell by steps too small to be told. */
  @Test
  public void limitThatFallsBySmallStepsIsTold() {
    registry.recordHeartbeat(beat("up", "one", 1), false, RelayFixture.START);
    assertTrue(named(10, 0, RelayFixture.START));
    assertFalse(named(9.5, 0, RelayFixture.START.plusSeconds(1)), "not worth a word");
    assertTrue(named(8.9, 0, RelayFixture.START.plusSeconds(2)));
    assertEquals(registry.limitedUpstreams().get(0).perSecond(), 8.9);
    assertEquals(registry.limitedUpstreams().get(0).heardBy(), "entry-1");
  }

  /** Guards against a word that was held up and takes the place of a newer one. */
  @Test
  public void newestWordOnLimitCounts() {
    registry.recordHeartbeat(beat("up", "one", 1), false, RelayFixture.START);
    assertTrue(named(2, 0, RelayFixture.START.plusSeconds(5)));
    assertFalse(named(30, 700, RelayFixture.START.plusMillis(5200)));
    assertEquals(told(), new ReportedLimit(new RateLimit(2), 4000));
    assertTrue(named(Double.POSITIVE_INFINITY, 100, RelayFixture.START.plusSeconds(6)));
    assertEquals(registry.limitedUpstreams(), List.of());
  }

  /** Guards against an upstream that starts again and counts as limited as it was before. */
  @Test
  public void laterStartNamesNoLimit() {
    registry.recordHeartbeat(beat("up", "one", 1), false, RelayFixture.START);
    assertTrue(named(2, 0, RelayFixture.START));
    registry.recordHeartbeat(
        started("up", "10.0.0.1:80", 1, 1000), false, RelayFixture.START.plusSeconds(3));
    assertNull(told());
    assertFalse(named(2, 0, RelayFixture.START.plusSeconds(4)), "of the start before");
  }
}
