package org.skylarkfork.standin.measure;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiFunction;
import org.HdrHistogram.Histogram;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.configuration.Limits;
import org.skylarkfork.core.configuration.ModelVersion;
import org.skylarkfork.core.configuration.Price;
import org.skylarkfork.core.configuration.Rule;
import org.skylarkfork.core.configuration.Team;
import org.skylarkfork.core.quality.AttemptOutcome;
import org.skylarkfork.core.quality.VersionQuality;
import org.skylarkfork.core.request.Bytes;
import org.skylarkfork.core.request.CallerRequest;
import org.skylarkfork.core.request.RequestKind;
import org.skylarkfork.core.request.Usage;
import org.skylarkfork.core.routing.Candidates;
import org.skylarkfork.core.routing.Plan;
import org.skylarkfork.core.routing.PlanQuery;
import org.skylarkfork.core.routing.Planner;
import org.skylarkfork.core.routing.VersionChooser;

/**
 * Drafts of unlike difficulty on three models of unlike cost, whose quality must be found out.
 *
 * <p>Ten requests a second; a fifth belong to sessions; one in ten has a short deadline. Ratings of
 * final answers are sampled, and some are missing. Half-way the small model gets worse.
 */
public final class PlannerMeasure {

  /** Quality target of all requests: wanted rating and wanted share of answers that reach it. */
  public static final double TARGET = 0.9;

  private static final Instant BEGIN = Instant.parse("2026-05-04T08:00:00Z");
  private static final int REQUESTS_PER_SECOND = 10;
  private static final int SECONDS = 2_400;
  private static final double SAMPLED_SHARE = 0.1;
  private static final double MISSING_SHARE = 0.03;
  private static final double SESSION_SHARE = 0.2;
  private static final int SESSIONS = 800;
  private static final double SHORT_DEADLINE_SHARE = 0.1;
  private static final Duration SHORT_DEADLINE = Duration.ofSeconds(9);
  private static final Duration DEADLINE = Duration.ofSeconds(60);
  private static final long RATING_MILLIS = 300;
  private static final long RATING_MICROS = 20;
  private static final int MAX_TOKENS = 600;

  private final UniformRandomProvider random;
  private final EntryBooks books;
  private final VersionQuality quality;
  private final Planner planner;
  private final Map<String, ModelVersion> pins = new HashMap<>();
  private final Team team;
  private final Histogram millis = new Histogram(3);
  private Map<ModelVersion, ModelTruth> truths;
  private long requests;
  private long reached;
  private long late;
  private long moved;
  private long sessionless;
  private double sessionlessCost;
  private double costMicros;

  /**
   * Makes the models and one entry.
   *
   * @param make makes the planner from candidates and the book
   * @param seed seed of requests and answers
   */
  public PlannerMeasure(BiFunction<Candidates, VersionQuality, Planner> make, long seed) {
    random = RandomSource.XO_SHI_RO_256_PP.create(seed);
    List<ModelTruth> models = models(0.55);
    truths = byVersion(models);
    FixedConfiguration configuration =
        FixedConfiguration.of(models.stream().map(ModelTruth::configured).toList(), List.of());
    books = new EntryBooks(1, configuration, seed);
    quality = books.book(0);
    VersionChooser versions =
        new VersionChooser(
            configuration, new FixedDirectory(), quality, new MapPins(pins), "wien-halle");
    planner = make.apply(new Candidates(configuration, versions), quality);
    team =
        new Team(
            "inspectors",
            List.of(),
            models.stream().map(model -> new Team.AllowedModel(model.name(), List.of())).toList(),
            List.of(),
            Limits.NONE,
            1);
  }

  /** Runs all requests and returns what they gave. */
  public Result run() {
    for (int second = 0; second < SECONDS; second++) {
      if (second == SECONDS / 2) {
        truths = byVersion(models(0.4));
      }
      Instant now = BEGIN.plusSeconds(second);
      for (int i = 0; i < REQUESTS_PER_SECOND; i++) {
        request(now);
      }
      books.second(now);
    }
    return new Result(
        requests,
        costMicros / requests,
        sessionlessCost / sessionless,
        moved,
        (double) reached / requests,
        (double) late / requests,
        millis.getValueAtPercentile(50),
        millis.getValueAtPercentile(99));
  }

  private static List<ModelTruth> models(double smallAbility) {
    return List.of(
        new ModelTruth("draft-small", new Price(20, 80), smallAbility, 0.7, 5),
        new ModelTruth("draft-medium", new Price(100, 400), 0.8, 0.85, 10),
        new ModelTruth("draft-large", new Price(600, 2_400), 1.2, 0.97, 20));
  }

  private static Map<ModelVersion, ModelTruth> byVersion(List<ModelTruth> models) {
    Map<ModelVersion, ModelTruth> map = new HashMap<>();
    models.forEach(model -> map.put(model.version(), model));
    return map;
  }

  private void request(Instant now) {
    requests++;
    boolean inSession = random.nextDouble() < SESSION_SHARE;
    String session = inSession ? "s" + random.nextInt(SESSIONS) : null;
    Duration allowed = random.nextDouble() < SHORT_DEADLINE_SHARE ? SHORT_DEADLINE : DEADLINE;
    CallerRequest request = draft(session, now.plus(allowed));
    Rule.Decision.Route route =
        new Rule.Decision.Route(
            List.of("draft-small", "draft-medium", "draft-large"),
            Rule.PlanKind.CHEAPEST,
            TARGET,
            null);
    Optional<Plan> plan = planner.plan(new PlanQuery(request, team, route, null), now);
    Draft draft = new Draft(request, Math.pow(random.nextDouble(), 1.5), tokens());
    for (Plan.Step step : plan.orElseThrow().steps()) {
      if (draft.run(step, truths.get(step.version()), now)) {
        break;
      }
    }
    if (session == null) {
      sessionless++;
      sessionlessCost += draft.cost;
    } else {
      pins.putIfAbsent(session, draft.last);
      moved += pins.get(session).equals(draft.last) ? 0 : 1;
    }
    reached += draft.best >= TARGET ? 1 : 0;
    late += draft.elapsed > allowed.toMillis() ? 1 : 0;
    costMicros += draft.cost;
    millis.recordValue(draft.elapsed);
  }

  private int tokens() {
    return 100 + random.nextInt(MAX_TOKENS - 100);
  }

  private CallerRequest draft(@Nullable String session, Instant deadline) {
    return new CallerRequest(
        "r" + requests,
        "hash",
        RequestKind.CHAT,
        CallerRequest.AUTO,
        "",
        "POST",
        "",
        List.of(),
        "",
        Bytes.EMPTY,
        100 + random.nextInt(700),
        MAX_TOKENS,
        false,
        5,
        session,
        null,
        null,
        deadline,
        null);
  }

  /**
   * What a run gave.
   *
   * @param requests number of requests
   * @param costMicros mean cost of a request, ratings included
   * @param sessionlessCostMicros the same for requests without a session
   * @param sessionAnswersMoved answers in sessions by another version than the session's first
   * @param reached share of answers that reached the target
   * @param late share of answers after their deadline
   * @param p50Millis median time to the whole answer
   * @param p99Millis 99th percentile of it
   */
  public record Result(
      long requests,
      double costMicros,
      double sessionlessCostMicros,
      long sessionAnswersMoved,
      double reached,
      double late,
      long p50Millis,
      long p99Millis) {}

  /** One request while its plan runs. */
  private final class Draft {
    private final CallerRequest request;
    private final double difficulty;
    private final int tokens;
    private @Nullable ModelVersion last;
    private double best;
    private long cost;
    private long elapsed;
    private boolean escalated;

    Draft(CallerRequest request, double difficulty, int tokens) {
      this.request = request;
      this.difficulty = difficulty;
      this.tokens = tokens;
    }

    /** Runs a step and returns whether its answer is the final one. */
    boolean run(Plan.Step step, ModelTruth truth, Instant now) {
      final double rating = truth.rating(difficulty, random);
      long took = Math.round(100 + tokens * truth.millisPerToken());
      elapsed += took;
      cost += truth.price().costMicros(new Usage(request.promptTokens(), tokens, 0));
      double share = step.rated() ? 1 : quality.ratingShare(step.version(), SAMPLED_SHARE);
      boolean asked = random.nextDouble() < share;
      boolean known = asked && random.nextDouble() >= MISSING_SHARE;
      cost += asked ? RATING_MICROS : 0;
      quality.record(outcome(step, known ? rating : null, took), now);
      if (step.rated()) {
        elapsed += RATING_MILLIS;
      }
      boolean accepted = !step.rated() || known && rating >= TARGET;
      best = accepted && !step.rated() ? Math.max(best, rating) : accepted ? rating : best;
      last = step.version();
      escalated = true;
      return accepted;
    }

    private AttemptOutcome outcome(Plan.Step step, @Nullable Double rating, long took) {
      return new AttemptOutcome(
          request.requestId(),
          step.version(),
          team.name(),
          request.promptTokens(),
          AttemptOutcome.Ending.WHOLE,
          rating,
          100L,
          tokens,
          took,
          escalated);
    }
  }
}
