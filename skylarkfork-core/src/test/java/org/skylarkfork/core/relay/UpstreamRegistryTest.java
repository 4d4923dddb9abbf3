package org.skylarkfork.core.relay;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of {@link UpstreamRegistry}. */
public final class UpstreamRegistryTest {

  private UpstreamRegistry registry =
      new UpstreamRegistry(RelayTimes.of(Duration.ofSeconds(5), Duration.ofSeconds(1)));

  /** Each test begins anew. */
  @BeforeMethod
  public void setUp() {
    registry = new UpstreamRegistry(RelayTimes.of(Duration.ofSeconds(5), Duration.ofSeconds(1)));
  }

  private static UpstreamInstance beat(String id, String service, long sequence) {
    return new UpstreamInstance(id, service, "10.0.0.1:80", "a", "v1", 1, sequence);
  }

  private String conditions() {
    StringBuilder text = new StringBuilder();
    for (UpstreamStatus status : registry.all()) {
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
    registry.heard(beat("old", "one", 4), false, RelayFixture.START);
    registry.heard(beat("new", "two", 1), false, RelayFixture.START);
    registry.heard(beat("old", "one", 5), false, RelayFixture.START);
    assertEquals(conditions(), "old=LEAVING new=READY");
  }

  @Test
  public void lateHeartbeatDoesNotUndoLeaving() {
    registry.heard(beat("up", "one", 4), false, RelayFixture.START);
    registry.leaves("up");
    registry.heard(beat("up", "one", 5), false, RelayFixture.START);
    assertEquals(conditions(), "up=LEAVING");
  }

  @Test
  public void silentUpstreamIsMarkedAndComesBack() {
    registry.heard(beat("up", "one", 1), false, RelayFixture.START);
    registry.tick(RelayFixture.START.plusSeconds(4));
    assertEquals(conditions(), "up=SILENT");
    registry.heard(beat("up", "one", 2), false, RelayFixture.START.plusSeconds(5));
    assertEquals(conditions(), "up=READY");
    registry.tick(RelayFixture.START.plusSeconds(70));
    assertEquals(conditions(), "");
  }

  @Test
  public void changesSinceKnownNumberAreOnlyThose() {
    registry.heard(beat("up", "one", 1), false, RelayFixture.START);
    long known = registry.sequence();
    assertEquals(registry.changes(7, true, 7, known).upstreams(), List.of());
    registry.leaves("up");
    assertEquals(registry.changes(7, true, 7, known).upstreams().size(), 1);
    assertEquals(registry.changes(8, true, 7, known).whole(), true);
  }
}
