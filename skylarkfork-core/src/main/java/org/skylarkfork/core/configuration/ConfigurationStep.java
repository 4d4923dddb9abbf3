package org.skylarkfork.core.configuration;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * The differences that lead from one revision to a later one.
 *
 * @param from revision that it applies to
 * @param to revision that it leads to
 * @param differences the differences, applied in order
 */
public record ConfigurationStep(long from, long to, List<ConfigurationDifference> differences) {

  /** Copies the differences. */
  public ConfigurationStep {
    differences = List.copyOf(differences);
  }

  /** Returns the step between two configurations. */
  public static ConfigurationStep between(Configuration before, Configuration after) {
    return new ConfigurationStep(
        before.revision(), after.revision(), Differences.between(before, after));
  }

  /**
   * Applies the step.
   *
   * @throws IllegalArgumentException if the configuration isn't the one at which the step starts
   */
  public Configuration applyTo(Configuration configuration) {
    if (configuration.revision() != from) {
      throw new IllegalArgumentException(
          "the step starts at revision " + from + ", not at " + configuration.revision());
    }
    return Differences.apply(configuration, differences, to);
  }

  /** Returns the step that reverts this one. */
  ConfigurationStep inverse() {
    List<ConfigurationDifference> back = new ArrayList<>();
    for (ConfigurationDifference difference : differences) {
      back.add(Differences.inverse(difference));
    }
    Collections.reverse(back);
    return new ConfigurationStep(to, from, back);
  }

  /** Returns the approximate number of objects in the step, a measure of its size. */
  int weight() {
    int weight = 0;
    for (ConfigurationDifference difference : differences) {
      weight += Differences.weight(difference);
    }
    return weight;
  }
}
