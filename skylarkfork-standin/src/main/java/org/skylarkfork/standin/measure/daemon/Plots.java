package org.skylarkfork.standin.measure.daemon;

import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;

/** Draws figures as SVG. */
final class Plots {

  private static final int WIDTH = 480;
  private static final int NAME_WIDTH = 150;
  private static final int BAR_HEIGHT = 18;
  private static final int LINE_HEIGHT = 260;
  private static final int MARGIN = 30;
  private static final String FULL_COLOUR = "#2a6";
  private static final String OTHER_COLOUR = "#89b";
  private static final List<String> COLOURS =
      List.of("#2a6", "#c62", "#36c", "#a3a", "#777", "#b92");

  private Plots() {}

  /** Draws one bar for each run. */
  static String bars(String title, List<Figures> runs, ToDoubleFunction<Figures> figure) {
    double most = runs.stream().mapToDouble(figure).max().orElse(1);
    int height = MARGIN + BAR_HEIGHT * runs.size();
    StringBuilder svg = begin(title, height);
    int y = MARGIN;
    for (Figures run : runs) {
      double value = figure.applyAsDouble(run);
      double length = most <= 0 ? 0 : (WIDTH - NAME_WIDTH - 70) * value / most;
      String colour = run.policy().equals(Policy.FULL.name()) ? FULL_COLOUR : OTHER_COLOUR;
      svg.append(text(0, y + 12, run.policy()));
      svg.append(
          String.format(
              Locale.ROOT,
              "<rect x='%d' y='%d' width='%.1f' height='14' fill='%s'/>",
              NAME_WIDTH,
              y,
              length,
              colour));
      String shown = String.format(Locale.ROOT, value < 10 ? "%.3f" : "%.0f", value);
      svg.append(text(NAME_WIDTH + length + 4, y + 12, shown));
      y += BAR_HEIGHT;
    }
    return svg.append("</svg>\n").toString();
  }

  /** Draws how many requests were exposed up to each second, one line for each run. */
  static String exposure(String title, List<Figures> runs) {
    double most = runs.stream().mapToInt(Figures::exposedRequests).max().orElse(1);
    StringBuilder svg = begin(title, LINE_HEIGHT + MARGIN);
    for (int i = 0; i < runs.size(); i++) {
      Figures run = runs.get(i);
      String colour = COLOURS.get(i % COLOURS.size());
      svg.append("<polyline fill='none' stroke='").append(colour).append("' points='");
      int sum = 0;
      for (int second = 0; second < run.exposedBySecond().size(); second++) {
        sum += run.exposedBySecond().get(second);
        double x = (double) WIDTH * second / run.exposedBySecond().size();
        double y = LINE_HEIGHT - (LINE_HEIGHT - MARGIN) * sum / Math.max(1, most);
        svg.append(String.format(Locale.ROOT, "%.1f,%.1f ", x, y));
      }
      svg.append("'/>");
      String label = run.policy() + ": " + run.exposedRequests();
      svg.append(
          text(4, MARGIN + 14 + 14 * i, label).replace("<text", "<text fill='" + colour + "'"));
    }
    svg.append(text(0, LINE_HEIGHT + 16, "second 0"));
    svg.append(text(WIDTH - 70, LINE_HEIGHT + 16, "second " + Deployment.SECONDS));
    return svg.append("</svg>\n").toString();
  }

  private static StringBuilder begin(String title, int height) {
    StringBuilder svg = new StringBuilder();
    svg.append(String.format("<svg width='%d' height='%d' font-size='12'>", WIDTH, height));
    return svg.append(text(0, 16, title).replace("<text", "<text font-weight='bold'"));
  }

  private static String text(double x, double y, String text) {
    return String.format(Locale.ROOT, "<text x='%.1f' y='%.1f'>%s</text>", x, y, text);
  }
}
