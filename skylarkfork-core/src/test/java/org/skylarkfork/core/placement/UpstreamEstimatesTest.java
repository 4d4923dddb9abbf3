package org.skylarkfork.core.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Instant;
import org.testng.annotations.Test;

/** Tests of {@link RelativeLatency} and {@link PeerLoads}. */
public final class UpstreamEstimatesTest {

  private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

  /** An upstream that turns slow is told from others by its own times, though it is healthy. */
  @Test
  public void slowUpstreamIsNoticedAndForgiven() {
    RelativeLatency slowness = new RelativeLatency();
    assertEquals(slowness.factor(START), 1.0);
    for (int answer = 0; answer < 10; answer++) {
      slowness.recordAnswer(700, 100, START);
    }
    assertTrue(slowness.factor(START) > 5);
    assertTrue(slowness.factor(START.plusSeconds(40)) < 1.1, "it is tried again later");
  }

  @Test
  public void surpriseIsBounded() {
    RelativeLatency slowness = new RelativeLatency();
    slowness.recordAnswer(1_000_000, 1, START);
    assertEquals(slowness.factor(START), 2.4, 1e-9);
  }

  /** An entry that died must not keep others from an upstream with its last word. */
  @Test
  public void wordOfAnEntryExpires() {
    PeerLoads work = new PeerLoads();
    work.update("entry-1", 2, 300, START);
    work.update("entry-2", 1, 50, START.plusSeconds(1));
    assertEquals(work.running(START.plusSeconds(1)), 3);
    assertEquals(work.waitingMillis(START.plusSeconds(1)), 350.0);
    assertEquals(work.running(START.plusSeconds(2)), 1);
    work.update("entry-2", 0, 0, START.plusSeconds(2));
    assertEquals(work.running(START.plusSeconds(2)), 0);
  }
}
