package org.skylarkfork.core.relay;

import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests the limit on the connections from all entries to one upstream. */
public final class ConnectionShareTest {

  private static final int MAX_CONNECTIONS = 100;

  /** Guards against entries that together open more connections than an upstream accepts. */
  @Test
  public void entriesTogetherStayWithinConnectionLimit() {
    for (int entries = 1; entries <= MAX_CONNECTIONS; entries++) {
      RelayFixture entry = new RelayFixture();
      entry.view.entries = entries;
      int connectionsPerEntry = entry.send(1, "/lookup/x").target().maxConnections();
      assertTrue(connectionsPerEntry > 0, entries + " entries have " + connectionsPerEntry);
      assertTrue(
          entries * connectionsPerEntry <= MAX_CONNECTIONS,
          entries + " entries have " + connectionsPerEntry + " each");
    }
  }
}
