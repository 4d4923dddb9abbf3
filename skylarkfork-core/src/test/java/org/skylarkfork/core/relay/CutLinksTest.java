package org.skylarkfork.core.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests with entries that lose their links to all upstreams, in virtual time. */
public final class CutLinksTest {

  /** System property with the number of seeds; larger numbers are for manual runs. */
  private static final String SEEDS_PROPERTY = "skylarkfork.relay.seeds";

  /** System property with the first seed. */
  private static final String FIRST_PROPERTY = "skylarkfork.relay.first";

  private static final int USUAL_SEEDS = 3;
  private static final int CUTS = 4;

  /** Least share of first tries served at cut entries, relative to the others. */
  private static final double MIN_RELATIVE_SHARE = 2.0 / 3;

  /**
   * Number of entries and upstreams, whether the upstreams are engines, and requests per second.
   */
  @DataProvider
  public Object[][] pools() {
    return new Object[][] {
      {7, 13, true, 97.0}, {7, 3, false, 40.0}, {20, 33, true, 200.0}, {30, 6, false, 120.0}
    };
  }

  /** Guards against refusing callers of entries whose links to all upstreams are cut. */
  @Test(dataProvider = "pools")
  public void callersOfCutEntriesAreServedLikeOthers(
      int entries, int upstreams, boolean engines, double load) {
    int forwarded = 0;
    for (long seed = first(); seed < first() + seeds(); seed++) {
      CutLinksSimulation run = new CutLinksSimulation(seed, entries, upstreams, engines);
      run.load(load);
      for (int cut = 0; cut < CUTS; cut++) {
        run.cutLinks(someEntries(run), run.random.nextBoolean());
        run.run(Duration.ofMillis(6000 + run.random.nextInt(4000)));
        run.restoreLinks();
        run.run(Duration.ofMillis(500 + run.random.nextInt(4000)));
      }
      assertServed(run, seed);
      forwarded += run.forwarded;
    }
    assertTrue(forwarded > 0);
  }

  /**
   * Guards against the same while daemons are killed, frozen or cut off, and upstreams are full,
   * ask for backoffs and leave; no backoff is broken over a forwarded connection either.
   */
  @Test(dataProvider = "pools")
  public void callersOfCutEntriesAreServedUnderRandomFaults(
      int entries, int upstreams, boolean engines, double load) {
    for (long seed = first(); seed < first() + seeds(); seed++) {
      CutLinksSimulation run = new CutLinksSimulation(seed, entries, upstreams, engines);
      run.load(load);
      for (int cut = 0; cut < CUTS; cut++) {
        run.cutLinks(someEntries(run), run.random.nextBoolean());
        run.running().get(0).capacity = run.random.nextInt(3);
        run.run(Duration.ofMillis(run.random.nextInt(4000)));
        List<String> crashed = run.injectFault();
        run.run(Duration.ofMillis(500 + run.random.nextInt(3000)));
        run.recover(crashed);
        run.run(Duration.ofMillis(5000 + run.random.nextInt(3000)));
        run.restoreLinks();
        run.running().get(0).capacity = Integer.MAX_VALUE;
        run.run(Duration.ofMillis(500 + run.random.nextInt(4000)));
      }
      assertServed(run, seed);
      assertEquals(run.violations, List.of(), "seed " + seed);
    }
  }

  private static long first() {
    return Long.getLong(FIRST_PROPERTY, 1);
  }

  private static int seeds() {
    return Integer.getInteger(SEEDS_PROPERTY, USUAL_SEEDS);
  }

  /** Returns one entry, some, or all but one. */
  private static List<String> someEntries(CutLinksSimulation run) {
    int all = run.entries.size();
    int count =
        switch (run.random.nextInt(4)) {
          case 0 -> 1;
          case 1 -> all - 1;
          default -> 1 + run.random.nextInt(all - 1);
        };
    List<String> chosen = new ArrayList<>();
    int start = run.random.nextInt(all);
    for (int index = 0; index < count; index++) {
      chosen.add(run.entries.get((start + index) % all));
    }
    return chosen;
  }

  private static void assertServed(CutLinksSimulation run, long seed) {
    String counts = "seed " + seed + ": cut " + run.cut + ", others " + run.others;
    System.out.println(counts);
    assertTrue(run.cut.share() >= MIN_RELATIVE_SHARE * run.others.share(), counts);
  }
}
