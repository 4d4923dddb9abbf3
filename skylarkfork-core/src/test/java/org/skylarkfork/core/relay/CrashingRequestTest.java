package org.skylarkfork.core.relay;

import static org.testng.Assert.assertTrue;

import java.time.Duration;
import org.testng.annotations.Test;

/** Tests with requests that end each upstream which runs them. */
public final class CrashingRequestTest {

  /** Sends that may still reach upstreams once all entries in touch can know. */
  private static final int MOST_LATE_SENDS = 3;

  /**
   * A caller sends the same request again and again, to any of seven entries, and each upstream
   * that begins to run it ends. Three upstreams later all entries could know; still each of them
   * sends it to up to three more, and the callers of all requests beside it lose their answers.
   */
  @Test
  public void requestThatEndsItsUpstreamsIsNotSentOnForGood() {
    CrashingRequestSimulation run = new CrashingRequestSimulation(1, 7, 13);
    run.load(130);
    run.run(Duration.ofSeconds(2));
    run.crashing(1, 400);
    run.run(Duration.ofSeconds(30));
    CrashingRequestSimulation.Record record = run.records.get(1L);
    assertTrue(record.ended.size() >= CrashingRequestSimulation.ENDS_THAT_TELL);
    assertTrue(
        record.lateSends <= MOST_LATE_SENDS,
        record.lateSends + " late sends, " + record.ended.size() + " upstreams ended");
  }
}
