package org.skylarkfork.standin.engine;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.time.Instant;
import org.skylarkfork.standin.announce.LoadReport;
import org.testng.annotations.Test;

/** Tests that load is reported with a lag. */
public class LoadReporterTest {

  @Test
  public void reportsTheNewestLoadThatIsOldEnough() {
    LoadReporter reporter = new LoadReporter(Duration.ofSeconds(2));
    Instant start = Instant.EPOCH;
    assertEquals(reporter.report(1, 0, 0.1, start), new LoadReport(1, 0, 0.1, 0));
    assertEquals(reporter.report(2, 1, 0.2, start.plusSeconds(1)), new LoadReport(1, 0, 0.1, 1000));
    assertEquals(reporter.report(3, 2, 0.3, start.plusSeconds(3)), new LoadReport(2, 1, 0.2, 2000));
  }
}
