package org.skylarkfork.standin.measure;

import java.util.Locale;
import java.util.function.BiFunction;
import java.util.function.LongFunction;
import org.skylarkfork.core.quality.VersionQuality;
import org.skylarkfork.core.routing.BestModelPlanner;
import org.skylarkfork.core.routing.Candidates;
import org.skylarkfork.core.routing.CheapestModelPlanner;
import org.skylarkfork.core.routing.ChooserSettings;
import org.skylarkfork.core.routing.FixedOrderPlanner;
import org.skylarkfork.core.routing.LeastCostPlanner;
import org.skylarkfork.core.routing.LeastReportedLoadChooser;
import org.skylarkfork.core.routing.Planner;
import org.skylarkfork.core.routing.PlannerSettings;
import org.skylarkfork.core.routing.PowerOfTwoChooser;
import org.skylarkfork.core.routing.RandomChooser;
import org.skylarkfork.core.routing.RoundRobinChooser;
import org.skylarkfork.core.routing.UpstreamChooser;

/** Compares planners and choosers with their baselines; prints one JSON line each. */
public final class DecisionMeasure {

  private static final PlannerSettings SETTINGS =
      new PlannerSettings(20, 300, 0.5, 1.5, 3_000, 0.02, 0.05);

  private DecisionMeasure() {}

  /**
   * Runs all.
   *
   * @param arguments the seed, 1 if there is none
   */
  public static void main(String[] arguments) {
    long seed = arguments.length > 0 ? Long.parseLong(arguments[0]) : 1;
    planner("best model", (listed, book) -> new BestModelPlanner(listed, book), seed);
    planner("cheapest model", (listed, book) -> new CheapestModelPlanner(listed), seed);
    planner("fixed order", (listed, book) -> new FixedOrderPlanner(listed), seed);
    planner(
        "least cost", (listed, book) -> new LeastCostPlanner(listed, book, SETTINGS, seed), seed);
    chooser("random", entry -> new RandomChooser(seed + entry), seed);
    chooser("round robin", entry -> new RoundRobinChooser(), seed);
    chooser("least reported load", entry -> new LeastReportedLoadChooser(), seed);
    chooser(
        "power of two",
        entry ->
            new PowerOfTwoChooser(
                ChooserMeasure.zone(entry), ChooserSettings.DEFAULT, seed + entry),
        seed);
  }

  private static void planner(
      String name, BiFunction<Candidates, VersionQuality, Planner> make, long seed) {
    PlannerMeasure.Result result = new PlannerMeasure(make, seed).run();
    System.out.println(
        String.format(
            Locale.ROOT,
            "{\"measure\":\"planner\",\"planner\":\"%s\",\"requests\":%d,\"costMicros\":%.1f,"
                + "\"sessionlessCostMicros\":%.1f,\"sessionAnswersMoved\":%d,"
                + "\"reached\":%.4f,\"late\":%.4f,\"p50Millis\":%d,\"p99Millis\":%d}",
            name,
            result.requests(),
            result.costMicros(),
            result.sessionlessCostMicros(),
            result.sessionAnswersMoved(),
            result.reached(),
            result.late(),
            result.p50Millis(),
            result.p99Millis()));
  }

  private static void chooser(String name, LongFunction<UpstreamChooser> make, long seed) {
    ChooserMeasure.Result result = new ChooserMeasure(make, seed).run();
    System.out.println(
        String.format(
            Locale.ROOT,
            "{\"measure\":\"chooser\",\"chooser\":\"%s\",%s,%s,%s,\"refused\":%d}",
            name,
            figures("usual", result.usual()),
            figures("burst", result.burst()),
            figures("fault", result.fault()),
            result.refused()));
  }

  private static String figures(String name, ChooserMeasure.Figures figures) {
    return String.format(
        Locale.ROOT,
        "\"%s\":{\"count\":%d,\"p50Millis\":%.1f,\"p95Millis\":%.1f,\"p99Millis\":%.1f}",
        name,
        figures.count(),
        figures.p50(),
        figures.p95(),
        figures.p99());
  }
}
