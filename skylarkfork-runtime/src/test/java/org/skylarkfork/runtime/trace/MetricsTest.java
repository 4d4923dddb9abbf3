package org.skylarkfork.runtime.trace;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests {@link Metrics}. */
public final class MetricsTest {

  // What operators see: GET /metrics answers 500 from the first queued request on. A part observed
  // a name as a distribution and the gauges set the same name, which the library refuses by an
  // exception. The value must be left out, the mistake counted, and the rest be shown.
  @Test
  public void oneNameForTwoTypesLosesOnlyTheSecond() {
    Metrics metrics = new Metrics();
    metrics.observe("waiting", "", 3);
    metrics.set("waiting", "", 4);
    metrics.count("waiting", "", 1);
    metrics.set("serving", "", 1);
    String text = metrics.text();
    assertTrue(text.contains("skylarkfork_waiting_count{kind=\"\"} 1"), text);
    assertTrue(text.contains("skylarkfork_serving{kind=\"\"} 1"), text);
    assertTrue(text.contains("skylarkfork_metric_name_conflicts_total{kind=\"waiting\"}"), text);
    assertFalse(text.contains("skylarkfork_waiting{"), text);
  }
}
