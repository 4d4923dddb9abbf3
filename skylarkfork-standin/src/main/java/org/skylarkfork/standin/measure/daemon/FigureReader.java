package org.skylarkfork.standin.measure.daemon;

import java.time.Duration;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.regex.Pattern;
import org.HdrHistogram.Histogram;
import org.skylarkfork.core.configuration.ModelVersion;
import org.skylarkfork.core.error.RoutingError;

/** Reads the figures of a run from what became of its requests. */
final class FigureReader {

  private static final double MICROS_PER_MILLI = 1_000;
  private static final Pattern DIGITS = Pattern.compile("[0-9]+");

  private final Deployment deployment;
  private final List<Ask> asks;
  private final Scores scores;
  private final Truth truth;

  /**
   * What was sent to a version after it turned bad.
   *
   * @param requests number of requests
   * @param sessions number of sessions
   * @param toWithdrawn drafts sent to a version after its withdrawal
   * @param bySecond requests newly exposed in each second
   */
  record Exposure(int requests, int sessions, int toWithdrawn, int[] bySecond) {}

  FigureReader(Deployment deployment, List<Ask> asks, Scores scores, Truth truth) {
    this.deployment = deployment;
    this.asks = asks;
    this.scores = scores;
    this.truth = truth;
  }

  Figures read(
      String policy,
      Set<FaultKind> faults,
      List<String> verdicts,
      Exposure exposure,
      Set<String> billed,
      FakeGroup group) {
    List<Ask> drafts = asks.stream().filter(Ask::isDraft).toList();
    List<Ask> answered = drafts.stream().filter(this::isAnswered).toList();
    long reached = answered.stream().filter(this::reaches).count();
    double cost = answered.stream().mapToLong(ask -> end(ask).costMicros()).sum();
    Map<String, Double> shares = teamShares();
    return new Figures(
        deployment.name(),
        policy,
        faults.stream().sorted().map(FaultKind::option).toList(),
        drafts.size(),
        (double) answered.size() / drafts.size(),
        (double) reached / Math.max(1, answered.size()),
        reachedShare(answered, Flow.Kind.DRAFT),
        reachedShare(answered, Flow.Kind.SESSION_DRAFT),
        cost / Math.max(1, answered.size()),
        meanCost(answered.stream().filter(ask -> ask.kind() == Flow.Kind.DRAFT).toList()),
        cost / Math.max(1, reached),
        firstTokens(),
        times(Ask::isDraft),
        times(ask -> ask.kind() == Flow.Kind.LOOKUP),
        times(ask -> ask.kind() == Flow.Kind.LOOKUP && ask.burst()),
        exposure.requests(),
        exposure.sessions(),
        (int) asks.stream().filter(ask -> !isAnswered(ask)).count(),
        (int) asks.stream().filter(scores::isFalseNotRun).count(),
        scores.doubles(),
        billsMissing(billed),
        billsCounted(group) - billed.size(),
        scores.moved(),
        exposure.toWithdrawn(),
        scores.endedTwice() + (int) asks.stream().filter(ask -> scores.ended(ask) == null).count(),
        jain(shares),
        shares.values().stream().mapToDouble(Double::doubleValue).min().orElse(0),
        refusals(),
        verdicts,
        Arrays.stream(exposure.bySecond()).boxed().toList());
  }

  private double reachedShare(List<Ask> answered, Flow.Kind kind) {
    return answered.stream()
        .filter(ask -> ask.kind() == kind)
        .mapToInt(ask -> reaches(ask) ? 1 : 0)
        .average()
        .orElse(0);
  }

  private double meanCost(List<Ask> answered) {
    return answered.stream().mapToLong(ask -> end(ask).costMicros()).average().orElse(0);
  }

  /** Counts refusals by kind and by the first sentence of what the caller is told. */
  private Map<String, Integer> refusals() {
    Map<String, Integer> refusals = new TreeMap<>();
    for (Ask ask : asks) {
      Scores.Ended end = scores.ended(ask);
      RoutingError error = end == null ? null : end.error();
      if (error != null) {
        String sentence = DIGITS.matcher(error.message().split("\\. ")[0]).replaceAll("0");
        String what = error.kind() + ", " + error.runState().headerValue() + ": " + sentence;
        refusals.merge(ask.kind() + " " + what, 1, Integer::sum);
      }
    }
    return refusals;
  }

  private boolean isAnswered(Ask ask) {
    Scores.Ended end = scores.ended(ask);
    return end != null && end.answered();
  }

  private Scores.Ended end(Ask ask) {
    Scores.Ended end = scores.ended(ask);
    if (end == null) {
      throw new IllegalStateException("request " + ask.request().requestId() + " has no end");
    }
    return end;
  }

  private boolean reaches(Ask ask) {
    ModelVersion version = end(ask).version();
    return version != null && truth.known(ask.request().requestId(), version) >= ask.target();
  }

  private long patience(Ask ask) {
    Duration after = Duration.between(Arrivals.BEGIN, ask.request().deadline());
    return Math.max(1, after.toNanos() / 1_000 - ask.atMicros());
  }

  private Figures.Percentiles times(Predicate<Ask> which) {
    Histogram histogram = new Histogram(3);
    for (Ask ask : asks) {
      if (which.test(ask)) {
        long micros = isAnswered(ask) ? end(ask).atMicros() - ask.atMicros() : patience(ask);
        histogram.recordValue(Math.max(1, micros));
      }
    }
    return percentiles(histogram);
  }

  private Figures.Percentiles firstTokens() {
    Histogram histogram = new Histogram(3);
    for (Ask ask : asks) {
      if (ask.kind() == Flow.Kind.SESSION_DRAFT) {
        Long first = isAnswered(ask) ? scores.firstToken(ask) : null;
        long micros = first == null ? patience(ask) : first - ask.atMicros();
        histogram.recordValue(Math.max(1, micros));
      }
    }
    return percentiles(histogram);
  }

  private static Figures.Percentiles percentiles(Histogram histogram) {
    return new Figures.Percentiles(
        histogram.getTotalCount(),
        histogram.getValueAtPercentile(50) / MICROS_PER_MILLI,
        histogram.getValueAtPercentile(95) / MICROS_PER_MILLI,
        histogram.getValueAtPercentile(99) / MICROS_PER_MILLI);
  }

  private int billsMissing(Set<String> billed) {
    Set<String> missing = new HashSet<>();
    for (Ask ask : asks) {
      if (isAnswered(ask) && !billed.contains(ask.billingKey())) {
        missing.add(ask.billingKey());
      }
    }
    return missing.size();
  }

  private static long billsCounted(FakeGroup group) {
    long counted = 0;
    for (int team = 0; team < Deployment.TEAMS; team++) {
      counted += group.statement(Deployment.team(team)).requests();
    }
    return counted;
  }

  /** Returns what each team got of its due part of the answered drafts of the bursts. */
  private Map<String, Double> teamShares() {
    Map<String, Integer> asked = new TreeMap<>();
    Map<String, Integer> answered = new TreeMap<>();
    for (Ask ask : asks) {
      if (ask.isDraft() && ask.burst()) {
        asked.merge(ask.team(), 1, Integer::sum);
        answered.merge(ask.team(), isAnswered(ask) ? 1 : 0, Integer::sum);
      }
    }
    double level = level(asked, answered.values().stream().mapToInt(count -> count).sum());
    Map<String, Double> shares = new TreeMap<>();
    answered.forEach(
        (team, count) -> shares.put(team, Math.min(1, count / Math.min(level, asked.get(team)))));
    return shares;
  }

  /** Returns how many each team may have if none gets more than it asked for and all is given. */
  private static double level(Map<String, Integer> asked, int total) {
    double left = total;
    int teams = asked.size();
    double level = left / teams;
    for (int demand : asked.values().stream().sorted().toList()) {
      level = left / teams;
      if (demand >= level) {
        return level;
      }
      left -= demand;
      teams--;
    }
    return Math.max(1, level);
  }

  private static double jain(Map<String, Double> shares) {
    double sum = shares.values().stream().mapToDouble(share -> share).sum();
    double squares = shares.values().stream().mapToDouble(share -> share * share).sum();
    return squares == 0 ? 0 : sum * sum / (shares.size() * squares);
  }
}
