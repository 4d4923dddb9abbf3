package org.skylarkfork.standin.measure.daemon;

import java.util.List;
import java.util.Locale;

/** Prints figures and targets as lines of text. */
public final class TextTable {

  private static final String FORMAT =
      "%-9s %-20s %-30s %8.0f %6.3f %6.3f %6.3f %6.0f %6.0f %6.0f %7.1f %7.1f %5d %4d %6d %3d %3d"
          + " %3d %3d %3d %5.3f %5.3f";

  private TextTable() {}

  /** Returns the names of the columns. */
  public static String head() {
    return String.format(
        "%-9s %-20s %-30s %8s %6s %6s %6s %6s %6s %6s %7s %7s %5s %4s %6s %3s %3s %3s %3s %3s %5s"
            + " %5s",
        "deploym.",
        "policy",
        "faults",
        "cost",
        "drafts",
        "sessns",
        "answ.",
        "ft50",
        "ft95",
        "ft99",
        "look99",
        "burst99",
        "expo.",
        "ses.",
        "refus.",
        "fnr",
        "dbl",
        "bil",
        "mov",
        "end",
        "jain",
        "worst");
  }

  /** Returns the line of a run. */
  public static String line(Figures run) {
    return String.format(
        Locale.ROOT,
        FORMAT,
        run.deployment(),
        run.policy(),
        String.join("+", run.faults()),
        run.costMicros(),
        run.reachedDrafts(),
        run.reachedSessions(),
        run.draftsAnswered(),
        run.firstToken().p50(),
        run.firstToken().p95(),
        run.firstToken().p99(),
        run.lookup().p99(),
        run.burstLookup().p99(),
        run.exposedRequests(),
        run.exposedSessions(),
        run.refused(),
        run.falseNotRun(),
        run.doubles(),
        run.billsMissing() + run.billsDouble(),
        run.sessionsMoved() + run.sentToWithdrawn(),
        run.unended(),
        run.fairness(),
        run.worstTeam());
  }

  /** Returns a line for each target. */
  public static List<String> lines(List<MeasureReport.Target> targets) {
    return targets.stream()
        .map(
            target ->
                String.format(
                    Locale.ROOT,
                    "%-9s %-60s %8.3f <= %.2f  %s",
                    target.deployment(),
                    target.name(),
                    target.value(),
                    target.limit(),
                    target.met() ? "met" : "NOT met"))
        .toList();
  }
}
