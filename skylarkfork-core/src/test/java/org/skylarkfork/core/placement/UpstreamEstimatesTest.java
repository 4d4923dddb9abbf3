package org.skylarkfork.core.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Instant;
import org.testng.annotations.Test;

/** Tests of {@link RelativeLatency} and {@link PeerLoads}. */
public final class UpstreamEstimatesTest {

  private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

  /**
   * An upstream that becomes slow is recognized by its answer times although it is healthy, and is
   * tried again later.
   */
  @Test
  public void slownessIsDetectedAndDecays() {
    RelativeLatency latency = new RelativeLatency();
    assertEquals(latency.factor(START), 1.0);
    for (int answer = 0; answer < 10; answer++) {
      latency.recordAnswer(700, 100, START);
    }
    assertTrue(latency.factor(START) > 5);
    assertTrue(latency.factor(START.plusSeconds(40)) < 1.1, "it is tried again later");
  }

  @Test
  public void ratioIsBounded() {
    RelativeLatency latency = new RelativeLatency();
    latency.recordAnswer(1_000_000, 1, START);
    assertEquals(latency.factor(START), 2.4, 1e-9);
  }

  /**
   * The last report of an entry that has failed must not keep other entries from using an upstream.
   */
  @Test
  public void peerReportExpires() {
    PeerLoads loads = new PeerLoads();
    loads.update("entry-1", 2, 300, START);
    loads.update("entry-2", 1, 50, START.plusSeconds(1));
    assertEquals(loads.running(START.plusSeconds(1)), 3);
    assertEquals(loads.waitingMillis(START.plusSeconds(1)), 350.0);
    assertEquals(loads.running(START.plusSeconds(2)), 1);
    loads.update("entry-2", 0, 0, START.plusSeconds(2));
    assertEquals(loads.running(START.plusSeconds(2)), 0);
  }
}
