package org.skylarkfork.core.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.skylarkfork.core.quality.VersionQuality;
import org.skylarkfork.core.request.CallerRequest;
import org.skylarkfork.core.request.Usage;

/**
 * Chooses the plan of least expected cost whose chance of reaching the target is enough.
 *
 * <p>Plans are single models and cascades of up to three in the order of cost. The chance must
 * reach the target with some caution, since an estimate that looks good by luck would be chosen
 * just for that. A small share of requests begins with a cheaper version that is little known; as
 * its answer is rated and falls back to the plan, this costs money and time but no quality.
 */
public final class LeastCostPlanner implements Planner {

  private static final int MAX_STEPS = 3;
  private static final int MAX_CANDIDATES = 8;

  private final Candidates candidates;
  private final VersionQuality quality;
  private final PlannerSettings settings;
  private final UniformRandomProvider random;

  /**
   * Makes a planner.
   *
   * @param candidates lists the versions
   * @param quality says how good and how fast each version is
   * @param settings how plans are weighed
   * @param seed seed of what explores
   */
  public LeastCostPlanner(
      Candidates candidates, VersionQuality quality, PlannerSettings settings, long seed) {
    this.candidates = candidates;
    this.quality = quality;
    this.settings = settings;
    this.random = RandomSource.XO_SHI_RO_256_PP.create(seed);
  }

  @Override
  public Optional<Plan> plan(PlanQuery query, Instant now) {
    double target = Candidates.qualityTarget(query);
    List<Option> options = options(query, target, now);
    if (options.isEmpty()) {
      return Optional.empty();
    }
    double remainingMillis = Duration.between(now, query.request().deadline()).toMillis();
    List<Option> pinned = options.stream().filter(Option::isPinned).toList();
    if (!pinned.isEmpty()) {
      // A session shows its user one version's answers, so it doesn't take part in cascades.
      Combination pinnedBest = best(singles(pinned), target, remainingMillis);
      return Optional.of(toPlan(pinnedBest, target, "version that the session keeps"));
    }
    boolean inSession = query.request().session() != null;
    List<Combination> all = inSession ? singles(options) : combinations(options);
    Combination best = best(all, target, remainingMillis);
    if (!inSession) {
      Optional<Combination> exploration = exploration(options, best, remainingMillis);
      if (exploration.isPresent()) {
        return Optional.of(toPlan(exploration.get(), target, "explores a cheaper version first"));
      }
    }
    return Optional.of(toPlan(best, target, reason(best, target)));
  }

  private List<Option> options(PlanQuery query, double target, Instant now) {
    return candidates.of(query, now).stream()
        .limit(MAX_CANDIDATES)
        .map(candidate -> option(candidate, query, target))
        .sorted(Comparator.comparingDouble(Option::costMicros))
        .toList();
  }

  private Option option(Candidates.Candidate candidate, PlanQuery query, double target) {
    CallerRequest request = query.request();
    int promptTokens = request.promptTokens();
    var version = candidate.choice().version();
    String team = query.team().name();
    double expectedTokens = quality.expectedTokens(version, promptTokens);
    int completionTokens =
        expectedTokens > 0
            ? (int) Math.min(expectedTokens, request.maxTokens())
            : request.maxTokens();
    double millis = quality.expectedMillis(version, promptTokens);
    return new Option(
        candidate,
        candidate.version().price().costMicros(new Usage(promptTokens, completionTokens, 0)),
        millis > 0 ? millis : settings.defaultLatencyMillis(),
        quality.estimate(version, team, promptTokens, target),
        quality.estimateEscalated(version, team, promptTokens, target));
  }

  private static List<Combination> singles(List<Option> options) {
    return options.stream().map(option -> new Combination(List.of(option))).toList();
  }

  private static List<Combination> combinations(List<Option> options) {
    List<Combination> all = new ArrayList<>();
    extend(List.of(), options, all);
    return all;
  }

  private static void extend(List<Option> prefix, List<Option> left, List<Combination> all) {
    for (int i = 0; i < left.size(); i++) {
      List<Option> extended = new ArrayList<>(prefix);
      extended.add(left.get(i));
      all.add(new Combination(extended));
      if (extended.size() < MAX_STEPS) {
        extend(extended, left.subList(i + 1, left.size()), all);
      }
    }
  }

  /** Returns the cheapest that is enough and in time, else the one that is most likely enough. */
  private Combination best(List<Combination> all, double target, double remainingMillis) {
    Comparator<Combination> cheapest =
        Comparator.comparingDouble(combination -> combination.cost(settings));
    Comparator<Combination> mostLikely =
        Comparator.comparingDouble(
            combination -> combination.successProbability(settings.uncertaintyMargin()));
    List<Combination> inTime =
        all.stream().filter(combination -> meetsDeadline(combination, remainingMillis)).toList();
    List<Combination> left = inTime.isEmpty() ? singleStepOnly(all) : inTime;
    return left.stream()
        .filter(
            combination -> combination.successProbability(settings.uncertaintyMargin()) >= target)
        .min(cheapest)
        .orElseGet(() -> left.stream().max(mostLikely).orElseThrow());
  }

  private static List<Combination> singleStepOnly(List<Combination> all) {
    return all.stream().filter(combination -> combination.options().size() == 1).toList();
  }

  private boolean meetsDeadline(Combination combination, double remainingMillis) {
    return combination.worstCaseMillis(settings) * settings.deadlineFactor() <= remainingMillis;
  }

  /** Puts a cheaper and little known version before a plan, for a share of the requests. */
  private Optional<Combination> exploration(
      List<Option> options, Combination best, double remainingMillis) {
    if (best.options().size() >= MAX_STEPS || random.nextDouble() >= settings.explorationShare()) {
      return Optional.empty();
    }
    Option first = best.options().get(0);
    return options.stream()
        .filter(option -> option.costMicros() < first.costMicros())
        .filter(
            option -> option.estimate().standardDeviation() >= settings.minExplorationDeviation())
        .max(Comparator.comparingDouble(option -> option.estimate().standardDeviation()))
        .map(option -> best.precededBy(option))
        .filter(combination -> meetsDeadline(combination, remainingMillis));
  }

  private Plan toPlan(Combination combination, double target, String reason) {
    List<Candidates.Candidate> listed =
        combination.options().stream().map(Option::candidate).toList();
    Plan plan = FixedOrderPlanner.cascade(listed, target, reason);
    return new Plan(plan.steps(), target, combination.cost(settings), reason, plan.notice());
  }

  private String reason(Combination best, double target) {
    double probability = best.successProbability(settings.uncertaintyMargin());
    String what = probability >= target ? "least cost that is enough" : "most likely to be enough";
    return String.format(Locale.ROOT, "%s: chance %.2f for target %.2f", what, probability, target);
  }

  /** One version with what is expected of it. */
  private record Option(
      Candidates.Candidate candidate,
      double costMicros,
      double expectedMillis,
      VersionQuality.Estimate estimate,
      VersionQuality.Estimate escalated) {

    boolean isPinned() {
      return candidate.choice().pinned();
    }

    /** Returns the chance that its answer is good enough, taken with caution. */
    double successProbability(boolean first, double caution) {
      VersionQuality.Estimate from = first ? estimate : escalated;
      return Math.max(0, from.mean() - caution * from.standardDeviation());
    }
  }

  /** Versions in the order in which they run. */
  private record Combination(List<Option> options) {

    Combination precededBy(Option first) {
      List<Option> extended = new ArrayList<>();
      extended.add(first);
      extended.addAll(options);
      return new Combination(extended);
    }

    double successProbability(double caution) {
      double failureProbability = 1;
      for (int i = 0; i < options.size(); i++) {
        failureProbability *= 1 - options.get(i).successProbability(i == 0, caution);
      }
      return 1 - failureProbability;
    }

    /** Returns the expected cost, with that of the steps that fall short and of the ratings. */
    double cost(PlannerSettings settings) {
      double reachProbability = 1;
      double cost = 0;
      for (int i = 0; i < options.size(); i++) {
        boolean last = i == options.size() - 1;
        cost +=
            reachProbability
                * (options.get(i).costMicros() + (last ? 0 : settings.ratingCostMicros()));
        reachProbability *= 1 - options.get(i).successProbability(i == 0, 0);
      }
      return cost;
    }

    /** Returns the time if each step falls short but the last. */
    double worstCaseMillis(PlannerSettings settings) {
      double steps = options.stream().mapToDouble(Option::expectedMillis).sum();
      return steps + (options.size() - 1) * settings.ratingLatencyMillis();
    }
  }
}
