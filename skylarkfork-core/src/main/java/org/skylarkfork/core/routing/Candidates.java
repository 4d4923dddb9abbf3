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

/** Lists the versions from which a plan may be made, one for each model of the route. */
public final class Candidates {

  private final ConfigurationView configuration;
  private final VersionChooser versions;

  /**
   * Makes a lister.
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
   * <p>The list is empty where the version that the query's session keeps has no engine for the
   * moment: to go on with another model would move the session as well.
   *
   * <p>Suspect versions are listed only if nothing else is left: a false alarm on the last version
   * of each model would otherwise refuse all work.
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

  /** Returns the quality target of a query, the greater of the rule's and the caller's. */
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

  /** Returns the route's models; a route without any leaves the choice to the caller. */
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
   * One version that may take the request.
   *
   * @param choice the version and how it was chosen
   * @param version what operators say of it
   * @param costMicros cost of a run that generates as many tokens as the caller wants at most
   */
  public record Candidate(VersionChoice choice, Model.Version version, long costMicros) {

    /** Returns what the caller should know about this version, or null. */
    public @Nullable String notice() {
      return choice.notice();
    }
  }
}
