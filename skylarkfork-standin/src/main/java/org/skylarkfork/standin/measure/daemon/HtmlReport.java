package org.skylarkfork.standin.measure.daemon;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;

/** Writes a report as one page that needs nothing else. */
public final class HtmlReport {

  private static final String HEAD =
      """
      <!DOCTYPE html>
      <html lang="en"><head><meta charset="utf-8"><title>skylarkfork: decisions measured</title>
      <style>
      body { font: 14px sans-serif; margin: 2em; }
      table { border-collapse: collapse; margin-bottom: 2em; }
      td, th { border: 1px solid #ccc; padding: 2px 6px; text-align: right; }
      td:first-child, th:first-child, td.text { text-align: left; }
      .bad { color: #b00; font-weight: bold; }
      svg { margin: 0 1em 1em 0; }
      </style></head><body>
      """;

  private HtmlReport() {}

  /** Returns the page. */
  public static String of(MeasureReport report) {
    StringBuilder page = new StringBuilder(HEAD);
    page.append("<h1>Decisions against baselines</h1><p>Seed ").append(report.seed());
    page.append(". Times in milliseconds; cost in millionths a draft.</p>\n");
    page.append("<h2>Targets</h2><table>");
    row(page, "th", List.of("deployment", "what", "measured", "limit", "met"));
    for (MeasureReport.Target target : report.targets()) {
      String met = target.met() ? "yes" : "<span class=bad>no</span>";
      List<String> cells =
          List.of(
              target.deployment(),
              target.name(),
              number(target.value(), 3),
              number(target.limit(), 2),
              met);
      row(page, "td", cells);
    }
    page.append("</table>\n");
    report.runs().stream()
        .map(Figures::deployment)
        .distinct()
        .forEach(name -> deployment(page, name, report.runs()));
    return page.append("</body></html>\n").toString();
  }

  private static void deployment(StringBuilder page, String name, List<Figures> all) {
    List<Figures> runs = all.stream().filter(run -> run.deployment().equals(name)).toList();
    List<Figures> plain = runs.stream().filter(run -> run.faults().isEmpty()).toList();
    page.append("<h2>").append(name).append("</h2>\n");
    bars(page, "Cost a draft", plain, Figures::costMicros);
    bars(page, "Share of answers that meet the target", plain, Figures::reached);
    bars(page, "p99 of burst lookups, ms", plain, run -> run.burstLookup().p99());
    bars(page, "p99 of the first token, ms", plain, run -> run.firstToken().p99());
    bars(page, "Fairness of the burst's drafts (Jain)", plain, Figures::fairness);
    for (FaultKind bad : List.of(FaultKind.BAD_SUDDEN, FaultKind.BAD_SLOW)) {
      List<Figures> exposed =
          runs.stream().filter(run -> run.faults().equals(List.of(bad.option()))).toList();
      if (!exposed.isEmpty()) {
        page.append(Plots.exposure("Requests exposed, " + bad.option(), exposed));
      }
    }
    table(page, runs);
  }

  private static void bars(
      StringBuilder page, String title, List<Figures> runs, ToDoubleFunction<Figures> figure) {
    page.append(Plots.bars(title, runs, figure));
  }

  private static void table(StringBuilder page, List<Figures> runs) {
    page.append("<table>");
    row(
        page,
        "th",
        List.of(
            "policy",
            "faults",
            "cost",
            "cost without session",
            "cost a met target",
            "drafts meet target",
            "sessions meet target",
            "answered",
            "first token p50 / p95 / p99",
            "lookup p50 / p95 / p99",
            "burst lookup p50 / p95 / p99",
            "exposed requests",
            "exposed sessions",
            "refused",
            "false not-run",
            "doubles",
            "bills missing / double",
            "sessions moved",
            "sent to withdrawn",
            "unended",
            "fairness",
            "worst team"));
    for (Figures run : runs) {
      row(page, "td", cells(run));
    }
    page.append("</table>\n");
  }

  private static List<String> cells(Figures run) {
    List<String> cells = new ArrayList<>();
    cells.add(run.policy());
    cells.add(String.join(" + ", run.faults()));
    cells.add(number(run.costMicros(), 0));
    cells.add(number(run.sessionlessCostMicros(), 0));
    cells.add(number(run.costPerReachedMicros(), 0));
    cells.add(number(run.reachedDrafts(), 3));
    cells.add(number(run.reachedSessions(), 3));
    cells.add(number(run.draftsAnswered(), 3));
    cells.add(percentiles(run.firstToken()));
    cells.add(percentiles(run.lookup()));
    cells.add(percentiles(run.burstLookup()));
    cells.add("" + run.exposedRequests());
    cells.add("" + run.exposedSessions());
    cells.add("" + run.refused());
    cells.add("" + run.falseNotRun());
    cells.add("" + run.doubles());
    cells.add(run.billsMissing() + " / " + run.billsDouble());
    cells.add("" + run.sessionsMoved());
    cells.add("" + run.sentToWithdrawn());
    cells.add("" + run.unended());
    cells.add(number(run.fairness(), 3));
    cells.add(number(run.worstTeam(), 3));
    return cells;
  }

  private static String percentiles(Figures.Percentiles of) {
    return number(of.p50(), 0) + " / " + number(of.p95(), 0) + " / " + number(of.p99(), 0);
  }

  private static String number(double value, int digits) {
    return String.format(Locale.ROOT, "%." + digits + "f", value);
  }

  private static void row(StringBuilder page, String tag, List<String> cells) {
    page.append("<tr>");
    for (String cell : cells) {
      page.append('<').append(tag).append('>').append(cell);
      page.append("</").append(tag).append('>');
    }
    page.append("</tr>\n");
  }
}
