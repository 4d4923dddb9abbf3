package org.skylarkfork.core.configuration;

import java.util.List;
import java.util.Optional;

/**
 * A model that engines may run.
 *
 * @param name name of the model
 * @param versions its versions
 * @param current version that receives new work unless a roll-out selects another
 */
public record Model(String name, List<Version> versions, String current) {

  /** Copies the versions. */
  public Model {
    versions = List.copyOf(versions);
  }

  /**
   * A version of a model.
   *
   * @param name name of the version
   * @param price price of its tokens
   * @param priorQuality probability of a good answer assumed before any rating exists, 0 to 1
   */
  public record Version(String name, Price price, double priorQuality) {}

  /** Returns a version by name; empty if the model has no such version. */
  public Optional<Version> version(String versionName) {
    return versions.stream().filter(version -> version.name().equals(versionName)).findFirst();
  }
}
