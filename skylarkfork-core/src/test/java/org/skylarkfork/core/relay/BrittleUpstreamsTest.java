package org.skylarkfork.core.relay;

import static org.testng.Assert.assertTrue;

import java.time.Duration;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests with upstreams that state how many rejections in a second they bear. */
public final class BrittleUpstreamsTest {

  /** System property with the number of seeds; larger numbers are for manual runs. */
  private static final String SEEDS_PROPERTY = "skylarkfork.relay.seeds";

  /** System property with the first seed. */
  private static final String FIRST_PROPERTY = "skylarkfork.relay.first";

  private static final int USUAL_SEEDS = 3;
  private static final Duration CONTACT_TIME = Duration.ofSeconds(3);

  /**
   * Number of entries and upstreams, whether the upstreams are engines, requests per second, and
   * the requests that an upstream runs at once, which is all it holds, and the rejections in a
   * second that it bears.
   */
  @DataProvider
  public Object[][] pools() {
    return new Object[][] {
      {7, 3, false, 60.0, 2, 5},
      {7, 3, false, 120.0, 2, 5},
      {9, 3, false, 150.0, 6, 3},
      {7, 13, true, 97.0, 3, 6},
    };
  }

  /** Guards against upstreams that fall over, one after the other, under rejected requests. */
  @Test(dataProvider = "pools")
  public void upstreamsRarelyFallOverWhileTheyAreBrittle(
      int entries, int upstreams, boolean engines, double load, int capacity, int limit) {
    assertFewFalls(entries, upstreams, engines, load, capacity, limit);
  }

  /** Guards against the same while callers send twice what the upstreams can run. */
  @Test
  public void upstreamsRarelyFallOverUnderTwiceTheirLoad() {
    assertFewFalls(7, 13, true, 160.0, 3, 4);
  }

  private static void assertFewFalls(
      int entries, int upstreams, boolean engines, double load, int capacity, int limit) {
    long first = Long.getLong(FIRST_PROPERTY, 1);
    int seeds = Integer.getInteger(SEEDS_PROPERTY, USUAL_SEEDS);
    int unserved = 0;
    for (long seed = first; seed < first + seeds; seed++) {
      BrittleUpstreamsSimulation run =
          new BrittleUpstreamsSimulation(seed, entries, upstreams, engines, capacity);
      run.load(load);
      run.run(Duration.ofSeconds(2));
      run.stateLimit(limit);
      run.run(CONTACT_TIME);
      run.falls = 0;
      run.hold(capacity);
      run.run(Duration.ofSeconds(15));
      run.hold(Integer.MAX_VALUE);
      run.stateLimit(-1);
      String counts =
          "seed "
              + seed
              + ": "
              + run.falls
              + " falls, "
              + run.rejected
              + " rejected, "
              + run.served
              + " of "
              + run.requests
              + " served";
      System.out.println(counts);
      assertTrue(run.falls <= 2 + upstreams / 10, counts);
      unserved += run.requests - run.served;
    }
    assertTrue(unserved > 0, "the load must exceed the capacity");
  }
}
