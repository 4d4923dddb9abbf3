package org.skylarkfork.core.configuration;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.Invariants;
import org.skylarkfork.core.configuration.ConfigurationDifference.TeamDiffers;

/** The newest configuration applied on this daemon, its index, and the newest steps to it. */
final class AppliedConfiguration {

  private static final int MAX_STEPS = 512;
  private static final int MAX_WEIGHT = 20_000;

  private final Map<String, Team> teamByKeyHash = new HashMap<>();
  private final Deque<ConfigurationStep> steps = new ArrayDeque<>();
  private int weight;
  private Configuration current = Configuration.EMPTY;

  Configuration current() {
    return current;
  }

  long revision() {
    return current.revision();
  }

  @Nullable Team teamByKeyHash(String sha256) {
    return teamByKeyHash.get(sha256);
  }

  /** Applies a newer configuration as a whole. */
  void apply(Configuration next) {
    apply(ConfigurationStep.between(current, next), next);
  }

  /**
   * Applies a step that starts at the present revision.
   *
   * @throws IllegalArgumentException if it doesn't fit
   */
  void apply(ConfigurationStep step) {
    apply(step, step.applyTo(current));
  }

  private void apply(ConfigurationStep step, Configuration next) {
    Invariants.check(
        next.revision() > current.revision(), "an applied configuration is never reverted");
    current = next;
    for (ConfigurationDifference difference : step.differences()) {
      if (difference instanceof TeamDiffers team) {
        index(team);
      }
    }
    addStep(step);
  }

  private void index(TeamDiffers difference) {
    Team before = difference.before();
    if (before != null) {
      // Another team's difference may already have taken the key over.
      before
          .keys()
          .forEach(
              key ->
                  teamByKeyHash.computeIfPresent(
                      key.sha256(),
                      (hash, owner) -> owner.name().equals(before.name()) ? null : owner));
    }
    Team after = difference.after();
    if (after != null) {
      after.keys().forEach(key -> teamByKeyHash.put(key.sha256(), after));
    }
  }

  private void addStep(ConfigurationStep step) {
    steps.addLast(step);
    weight += step.weight();
    while (steps.size() > MAX_STEPS || (weight > MAX_WEIGHT && !steps.isEmpty())) {
      weight -= steps.removeFirst().weight();
    }
  }

  /**
   * Returns steps from a revision on, as many as the weight allows.
   *
   * @return no step if the way from that revision isn't known or the first step is too heavy
   */
  List<ConfigurationStep> stepsFrom(long revision, int maxWeight) {
    List<ConfigurationStep> found = new ArrayList<>();
    int total = 0;
    long next = revision;
    for (ConfigurationStep step : steps) {
      if (step.from() == next) {
        total += step.weight();
        if (total > maxWeight) {
          return found;
        }
        found.add(step);
        next = step.to();
      }
    }
    return found;
  }
}
