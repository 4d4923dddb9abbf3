package org.skylarkfork.core.attempt;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.skylarkfork.core.error.ErrorKind;
import org.testng.annotations.Test;

/** Tests with drafts that end each engine which runs them, sent to several entries. */
public final class CrashingDraftTest {

  private static final String SEEDS_PROPERTY = "skylarkfork.drafts.seeds";
  private static final String FIRST_PROPERTY = "skylarkfork.drafts.first";
  private static final int USUAL_SEEDS = 12;
  private static final int ENGINES = 9;

  /** Sends that may still reach engines once all entries in touch can know. */
  private static final int MOST_LATE_SENDS = 3;

  private static CrashingDraftSimulation loaded(long seed) {
    CrashingDraftSimulation run = new CrashingDraftSimulation(seed, ENGINES);
    run.load(40);
    run.run(Duration.ofSeconds(2));
    return run;
  }

  private static void check(CrashingDraftSimulation run) {
    assertTrue(run.lateSends <= MOST_LATE_SENDS, run.lateSends + " late sends");
    assertEquals(run.falseNotRun, 0, "refusals that say not run of what has run");
    assertEquals(run.refusedUnsuspected, 0, run.goodRefused.toString());
    assertTrue(run.goodAnswered > 100, run.goodAnswered + " good drafts answered");
  }

  /** Guards against engines that end for good because each entry begins to count anew. */
  @Test
  public void engineCountIsOneOverAllEntries() {
    CrashingDraftSimulation run = loaded(1);
    run.deadly("-1", 300);
    run.run(Duration.ofSeconds(30));
    check(run);
    assertTrue(run.deadlyRefused.getOrDefault(ErrorKind.QUARANTINED, 0) > 20);
    int ends = run.endsByPrompt.values().iterator().next().size();
    assertTrue(ends >= CrashingDraftSimulation.ENDS_THAT_TELL, ends + " ends");
  }

  /** Guards against a draft that is unknown again once all daemons were killed. */
  @Test
  public void quarantineOutlivesAllDaemons() {
    CrashingDraftSimulation run = loaded(2);
    run.deadly("-1", 300);
    run.run(Duration.ofSeconds(5));
    assertTrue(run.deadlyRefused.containsKey(ErrorKind.QUARANTINED));
    final int ends = run.endsByPrompt.values().iterator().next().size();
    List<String> all = new ArrayList<>(run.voters);
    all.addAll(run.entries);
    all.forEach(run.network::crash);
    all.forEach(run.network::start);
    run.run(Duration.ofSeconds(10));
    assertEquals(run.endsByPrompt.values().iterator().next().size(), ends);
    check(run);
  }

  /** Guards against good drafts that are refused because engines end by themselves. */
  @Test
  public void goodDraftsAreServedWhereEnginesEndByThemselves() {
    CrashingDraftSimulation run = loaded(3);
    for (int second = 0; second < 60; second++) {
      run.run(Duration.ofSeconds(1));
      run.endEngines(0.1);
    }
    check(run);
    assertFalse(run.goodRefused.containsKey(ErrorKind.QUARANTINED), run.goodRefused.toString());
  }

  /** Guards against a count that is lost with the leader, with an entry or in a freeze. */
  @Test
  public void crashingDraftsAreBoundedInRandomRuns() {
    long first = Long.getLong(FIRST_PROPERTY, 1);
    int seeds = Integer.getInteger(SEEDS_PROPERTY, USUAL_SEEDS);
    int ended = 0;
    int refused = 0;
    for (long seed = first; seed < first + seeds; seed++) {
      try {
        CrashingDraftSimulation run = randomRun(seed);
        ended += run.endsByPrompt.values().stream().mapToInt(List::size).sum();
        refused += run.goodRefused.getOrDefault(ErrorKind.QUARANTINED, 0);
      } catch (AssertionError failed) {
        throw new AssertionError("seed " + seed, failed);
      }
    }
    System.out.println(
        seeds + " seeds, " + ended + " engines ended under drafts, " + refused + " good refused");
  }

  private static CrashingDraftSimulation randomRun(long seed) {
    CrashingDraftSimulation run = loaded(seed);
    run.network.weather(0.01, 0.01, 3);
    for (int strike = 1; strike <= 4; strike++) {
      run.deadly("-" + strike, 700);
      run.run(Duration.ofMillis(run.random.nextInt(1500)));
      strike(run);
      run.run(Duration.ofSeconds(6));
    }
    check(run);
    return run;
  }

  private static void strike(CrashingDraftSimulation run) {
    List<String> struck = new ArrayList<>();
    switch (run.random.nextInt(4)) {
      case 0 -> struck.add(run.leader());
      case 1 -> struck.add(run.entries.get(run.random.nextInt(run.entries.size())));
      case 2 -> struck.addAll(run.voters);
      default -> run.endEngines(0.2);
    }
    struck.forEach(run.network::crash);
    run.run(Duration.ofMillis(200 + run.random.nextInt(1500)));
    struck.forEach(run.network::start);
  }
}
