package org.skylarkfork.core.configuration;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.function.IntFunction;
import org.skylarkfork.core.command.ConfigurationResult.Accepted;
import org.testng.annotations.Test;

/** Prints what changes cost at size; asserts only that they are right. */
public class ConfigurationCostTest {

  private static final int TEAMS = 1000;
  private static final int RULES = 10_000;
  private static final int ROUNDS = 200;
  private static final double NANOS_PER_MICRO = 1000.0;

  /** Changes of each kind at 1,000 teams and 10,000 rules. */
  @Test
  public void costOfChangesAtScale() {
    ConfigurationMachine machine = Samples.machine(Samples.configuration(TEAMS, RULES));
    AppliedConfiguration entry = new AppliedConfiguration();
    entry.apply(machine.configuration());
    measure(machine, entry, "PutRule", n -> new ConfigurationChange.PutRule(rule(n), null));
    measure(
        machine, entry, "MoveRule", n -> new ConfigurationChange.MoveRule("rule" + n, RULES - 1));
    measure(
        machine, entry, "PutTeam", n -> new ConfigurationChange.PutTeam(Samples.team("new" + n)));
    measure(machine, entry, "DrainUpstream", n -> new ConfigurationChange.DrainUpstream("gpu" + n));
    measure(
        machine,
        entry,
        "WithdrawVersion",
        n -> new ConfigurationChange.WithdrawVersion(Samples.DRAFT_2, null));
    assertEquals(entry.current(), machine.configuration());
  }

  private static Rule rule(int number) {
    return Samples.rule("rule" + number, "team" + (number + 1));
  }

  private static void measure(
      ConfigurationMachine machine,
      AppliedConfiguration entry,
      String kind,
      IntFunction<ConfigurationChange> changes) {
    long[] acceptNanos = new long[ROUNDS];
    long[] applyNanos = new long[ROUNDS];
    for (int round = 0; round < ROUNDS; round++) {
      ConfigurationChange change = changes.apply(round);
      long start = System.nanoTime();
      Object result = Samples.apply(machine, Samples.submit(kind + round, "anna", null, change));
      acceptNanos[round] = System.nanoTime() - start;
      assertTrue(result instanceof Accepted, result.toString());
      List<RevisionEntry> history = machine.history();
      ConfigurationStep step = history.get(history.size() - 1).step();
      start = System.nanoTime();
      entry.apply(step);
      applyNanos[round] = System.nanoTime() - start;
    }
    System.out.printf(
        "configuration: %s at %d teams, %d rules: accepted in %.0f us, applied in %.0f us%n",
        kind, TEAMS, RULES, median(acceptNanos), median(applyNanos));
  }

  private static double median(long[] nanos) {
    Arrays.sort(nanos);
    return nanos[nanos.length / 2] / NANOS_PER_MICRO;
  }
}
