package org.skylarkfork.core.configuration;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Long random runs of several daemons, with invariants asserted at each tick. */
public class ConfigurationDisseminationTest {

  private static final int ENTRIES = 14;
  private static final int ROUNDS = 120;

  /** Gives seeds. */
  @DataProvider
  public Object[][] seeds() {
    Object[][] seeds = new Object[12][1];
    for (int index = 0; index < seeds.length; index++) {
      seeds[index][0] = 100L + index;
    }
    return seeds;
  }

  /**
   * Messages are lost, doubled, late and in wrong order; daemons are cut off and restart; leaders
   * change; clocks run at unlike rates. No daemon may go back, and none may serve under a revision
   * older than one called in force. Once all is well again, all serve under the newest.
   */
  @Test(dataProvider = "seeds")
  public void neverRevertsAndNeverServesBelowRevisionInForce(long seed) {
    SimulatedDaemons daemons = new SimulatedDaemons(seed, ENTRIES);
    daemons
        .byName
        .values()
        .forEach(d -> d.clockRate = 0.9955 + daemons.random.nextDouble() * 0.009);
    daemons.change("load", new ConfigurationChange.ReplaceAll(Samples.configuration(4, 4)));
    daemons.lossRate = 0.05;
    List<String> names = new ArrayList<>(daemons.byName.keySet());
    int changes = 0;
    for (int round = 0; round < ROUNDS; round++) {
      daemons.run(Duration.ofMillis(200 + daemons.random.nextInt(1500)));
      String name = names.get(daemons.random.nextInt(names.size()));
      int action = daemons.random.nextInt(10);
      if (action < 5 && daemons.leader() != null) {
        changes++;
        daemons.change("c" + changes, new ConfigurationChange.DrainUpstream("u" + changes));
      } else if (action == 5 && !name.equals(daemons.leader())) {
        daemons.isolated.add(name);
      } else if (action == 6) {
        daemons.isolated.clear();
      } else if (action == 7 && !daemons.byName.get(name).voter) {
        daemons.byName.get(name).restart();
      } else if (action == 8) {
        changeLeader(daemons);
      }
    }
    daemons.isolated.clear();
    daemons.lossRate = 0;
    changeLeader(daemons);
    daemons.run(Duration.ofSeconds(12));
    assertEquals(daemons.inForce, changes + 1);
    for (SimulatedDaemons.Daemon daemon : daemons.byName.values()) {
      assertTrue(daemon.serves(), daemon.name);
      assertEquals(daemon.revision(), changes + 1, daemon.name);
    }
  }

  private static void changeLeader(SimulatedDaemons daemons) {
    daemons.lead(null);
    daemons.run(Duration.ofMillis(300));
    String next =
        SimulatedDaemons.VOTERS.get(daemons.random.nextInt(SimulatedDaemons.VOTERS.size()));
    if (!daemons.isolated.contains(next)) {
      daemons.lead(next);
    }
  }
}
