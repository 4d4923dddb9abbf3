package org.skylarkfork.core.routing;

import java.time.Instant;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.configuration.Configuration;
import org.skylarkfork.core.configuration.ConfigurationView;
import org.skylarkfork.core.configuration.Model;
import org.skylarkfork.core.configuration.ModelVersion;
import org.skylarkfork.core.configuration.RollOut;
import org.skylarkfork.core.configuration.Team;
import org.skylarkfork.core.quality.VersionQuality;
import org.skylarkfork.core.request.CallerRequest;
import org.skylarkfork.core.session.SessionPins;
import org.skylarkfork.core.upstream.UpstreamDirectory;

/**
 * Chooses the version of a model that a request gets: the pinned one, else the roll-out's share.
 *
 * <p>The team's allowed list and withdrawals narrow every choice, pins included.
 */
public final class VersionChooser {

  private static final int ALL_PERCENT = 100;

  private final ConfigurationView configuration;
  private final UpstreamDirectory upstreams;
  private final VersionQuality quality;
  private final SessionPins pins;
  private final String zone;

  /**
   * Makes a chooser of versions.
   *
   * @param configuration the configuration in force
   * @param upstreams where engines are found
   * @param quality says which versions are suspect
   * @param pins the sessions' pins
   * @param zone availability zone of this entry
   */
  public VersionChooser(
      ConfigurationView configuration,
      UpstreamDirectory upstreams,
      VersionQuality quality,
      SessionPins pins,
      String zone) {
    this.configuration = configuration;
    this.upstreams = upstreams;
    this.quality = quality;
    this.pins = pins;
    this.zone = zone;
  }

  /**
   * Chooses a version.
   *
   * @param request the request
   * @param team its team
   * @param modelName name of the model
   * @param includeSuspect whether a suspect version is better than none
   * @param now the present time
   * @return the version, or empty if no allowed one has an engine that may take new work, or if the
   *     session's own version has none for the moment
   */
  public Optional<VersionChoice> choose(
      CallerRequest request, Team team, String modelName, boolean includeSuspect, Instant now) {
    return choose(request, team, modelName, null, includeSuspect, now);
  }

  /**
   * Chooses a version as {@link #choose(CallerRequest, Team, String, boolean, Instant)}, with a pin
   * that the caller knows of.
   */
  Optional<VersionChoice> choose(
      CallerRequest request,
      Team team,
      String modelName,
      @Nullable ModelVersion knownPin,
      boolean includeSuspect,
      Instant now) {
    Configuration current = configuration.current();
    Optional<Model> model = current.model(modelName);
    if (model.isEmpty()) {
      return Optional.empty();
    }
    Optional<ModelVersion> pinned = pinned(request, team, modelName, knownPin);
    if (pinned.isPresent() && isAllowed(current, model.get(), team, pinned.get())) {
      return hasEngine(pinned.get(), now)
          ? Optional.of(new VersionChoice(pinned.get(), true, null))
          : Optional.empty();
    }
    Optional<ModelVersion> chosen =
        chooseUnpinned(current, model.get(), request, team, includeSuspect, now);
    return chosen.map(
        version -> new VersionChoice(version, false, movedNotice(pinned.orElse(null), version)));
  }

  /**
   * Returns whether a session keeps a version that may run but has no engine for the moment.
   *
   * <p>Such a request is refused as not run. To move the session would show its user another
   * version's answers half-way through a case, and engines that restart are back soon.
   */
  boolean pinnedVersionLacksEngine(
      CallerRequest request,
      Team team,
      String modelName,
      @Nullable ModelVersion knownPin,
      Instant now) {
    Configuration current = configuration.current();
    Optional<Model> model = current.model(modelName);
    Optional<ModelVersion> pinned = pinned(request, team, modelName, knownPin);
    return model.isPresent()
        && pinned.isPresent()
        && isAllowed(current, model.get(), team, pinned.get())
        && !hasEngine(pinned.get(), now);
  }

  private Optional<ModelVersion> pinned(
      CallerRequest request, Team team, String model, @Nullable ModelVersion knownPin) {
    if (request.session() == null) {
      return Optional.empty();
    }
    if (knownPin != null && knownPin.model().equals(model)) {
      return Optional.of(knownPin);
    }
    return pins.pinned(team.name(), request.session(), model);
  }

  private Optional<ModelVersion> chooseUnpinned(
      Configuration current,
      Model model,
      CallerRequest request,
      Team team,
      boolean includeSuspect,
      Instant now) {
    for (String name : preferences(current, model, request, team)) {
      ModelVersion version = new ModelVersion(model.name(), name);
      if (isAllowed(current, model, team, version)
          && hasEngine(version, now)
          && (includeSuspect || !quality.isSuspect(version))) {
        return Optional.of(version);
      }
    }
    return Optional.empty();
  }

  /** Returns names of versions, the wanted one first and its substitutes after it. */
  private Set<String> preferences(
      Configuration current, Model model, CallerRequest request, Team team) {
    Set<String> names = new LinkedHashSet<>();
    Optional<RollOut> rollOut = current.rollOut(model.name());
    if (rollOut.isPresent()) {
      names.add(rollOutVersion(rollOut.get(), request, team));
      names.add(rollOut.get().from());
      if (rollOut.get().state() != RollOut.State.ABORTED) {
        names.add(rollOut.get().to());
      }
    }
    names.add(model.current());
    team.allowedModels().stream()
        .filter(allowed -> allowed.model().equals(model.name()))
        .forEach(allowed -> names.addAll(allowed.versions()));
    return names;
  }

  private String rollOutVersion(RollOut rollOut, CallerRequest request, Team team) {
    int percent = rollOutPercent(rollOut, team.name());
    int percentile =
        request.session() == null
            ? StableHash.percentile(rollOut.model(), rollOut.to(), request.requestId())
            : StableHash.percentile(rollOut.model(), rollOut.to(), team.name(), request.session());
    return percentile < percent ? rollOut.to() : rollOut.from();
  }

  /** Returns the percentage of a team's new work that the new version gets on this entry. */
  private int rollOutPercent(RollOut rollOut, String team) {
    return switch (rollOut.state()) {
      case FINISHED -> ALL_PERCENT;
      case ABORTED -> 0;
      case RUNNING, PAUSED -> runningPercent(rollOut, team);
    };
  }

  private int runningPercent(RollOut rollOut, String team) {
    if (rollOut.step() >= rollOut.steps().size()) {
      return ALL_PERCENT;
    }
    List<RollOut.Step> reached = rollOut.steps().subList(0, rollOut.step() + 1);
    // The greatest share reached so far: a wider step with a smaller share must not take back
    // what an earlier step for this team or zone has given.
    return reached.stream()
        .filter(step -> step.teams().isEmpty() || step.teams().contains(team))
        .filter(step -> step.zones().isEmpty() || step.zones().contains(zone))
        .mapToInt(RollOut.Step::percent)
        .max()
        .orElse(0);
  }

  private static boolean isAllowed(
      Configuration current, Model model, Team team, ModelVersion version) {
    return team.allows(version)
        && !current.isWithdrawn(version)
        && model.version(version.version()).isPresent();
  }

  private boolean hasEngine(ModelVersion version, Instant now) {
    return !upstreams.engines(version, now).isEmpty();
  }

  private static @Nullable String movedNotice(@Nullable ModelVersion pinned, ModelVersion version) {
    if (pinned == null) {
      return null;
    }
    return "session moved from %s, which is no longer allowed, to %s".formatted(pinned, version);
  }
}
