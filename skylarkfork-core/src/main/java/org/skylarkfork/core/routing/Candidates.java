package org.skylarkfork.core.routing;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.configuration.ConfigurationView;
import org.skylarkfork.core.configuration.Model;
import org.skylarkfork.core.configuration.Team;
import org.skylarkfork.core.request.CallerRequest;
import org.skylarkfork.core.request.Usage;

/** Lists the versions that a plan may use, one for each model of the route. */
public final class Candidates {

  private final ConfigurationView configuration;
  private final VersionChooser versions;

  /**
   * Creates a lister of candidates.
   *
   * @param configuration the configuration in force
   * @param versions chooses the version of each model
   */
  public Candidates(ConfigurationView configuration, VersionChooser versions) {
    this.configuration = configuration;
    this.versions = versions;
  }

  /**
   * Lists the candidates in the order of the route's models.
   *
   * <p>The list is empty if the version that the query's session is pinned to has no engine at the
   * moment, because another model would also move the session.
   *
   * <p>Suspect versions are listed only if there is no other candidate. Otherwise a false alarm on
   * the last version of each model would cause all requests to be refused.
   */
  public List<Candidate> of(PlanQuery query, Instant now) {
    for (String model : models(query)) {
      if (versions.pinnedVersionLacksEngine(
          query.request(), query.team(), model, query.pinned(), now)) {
        return List.of();
      }
    }
    List<Candidate> candidates = list(query, false, now);
    return candidates.isEmpty() ? list(query, true, now) : candidates;
  }

  /** Returns the quality target of a query: the greater of the rule's and the caller's target. */
  public static double qualityTarget(PlanQuery query) {
    Double callerTarget = query.request().qualityTarget();
    double ruleTarget = query.route().qualityTarget();
    return callerTarget == null ? ruleTarget : Math.max(callerTarget, ruleTarget);
  }

  private List<Candidate> list(PlanQuery query, boolean includeSuspect, Instant now) {
    List<Candidate> candidates = new ArrayList<>();
    for (String name : models(query)) {
      candidate(query, name, includeSuspect, now).ifPresent(candidates::add);
    }
    return candidates;
  }

  private Optional<Candidate> candidate(
      PlanQuery query, String name, boolean includeSuspect, Instant now) {
    Optional<Model> model = configuration.current().model(name);
    if (model.isEmpty()) {
      return Optional.empty();
    }
    Optional<VersionChoice> choice =
        versions.choose(query.request(), query.team(), name, query.pinned(), includeSuspect, now);
    return choice.flatMap(
        chosen ->
            model
                .get()
                .version(chosen.version().version())
                .map(version -> new Candidate(chosen, version, cost(version, query.request()))));
  }

  /**
   * Returns the route's models. If the route names none, returns the model that the caller
   * requested, or all models allowed to the team if the caller requested automatic selection.
   */
  private static List<String> models(PlanQuery query) {
    if (!query.route().models().isEmpty()) {
      return query.route().models();
    }
    if (!query.request().model().equals(CallerRequest.AUTO)) {
      return List.of(query.request().model());
    }
    return query.team().allowedModels().stream().map(Team.AllowedModel::model).distinct().toList();
  }

  private static long cost(Model.Version version, CallerRequest request) {
    return version.price().costMicros(new Usage(request.promptTokens(), request.maxTokens(), 0));
  }

  /**
   * A version that may run the request.
   *
   * @param choice the version and how it was chosen
   * @param version the configured price and prior quality of the version
   * @param costMicros cost, in millionths of the currency unit, of a run that generates the maximum
   *     number of tokens that the request allows
   */
  public record Candidate(VersionChoice choice, Model.Version version, long costMicros) {

    /** Returns a notice for the caller about this version, or null if there is none. */
    public @Nullable String notice() {
      return choice.notice();
    }
  }
}
