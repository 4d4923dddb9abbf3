package org.skylarkfork.core.relay;

import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests of the connections that entries may have to one upstream. */
public final class ConnectionShareTest {

  private static final int UPSTREAM_TAKES = 100;

  /** Guards against entries that together open more connections than an upstream takes. */
  @Test
  public void entriesTogetherStayWithinWhatAnUpstreamTakes() {
    for (int entries = 1; entries <= UPSTREAM_TAKES; entries++) {
      RelayFixture entry = new RelayFixture();
      entry.view.entries = entries;
      int each = entry.send(1, "/lookup/x").target().maxConnections();
      assertTrue(each > 0, entries + " entries have " + each);
      assertTrue(entries * each <= UPSTREAM_TAKES, entries + " entries have " + each + " each");
    }
  }
}
