package org.skylarkfork.core.configuration;

import java.util.List;
import java.util.Optional;

/**
 * A model that engines may run.
 *
 * @param name name of the model
 * @param versions its versions
 * @param current version that new work gets where no roll-out says otherwise
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
   * @param price what its tokens cost
   * @param priorQuality chance of a good answer that operators expect before any rating, 0 to 1
   */
  public record Version(String name, Price price, double priorQuality) {}

  /** Returns a version by name. */
  public Optional<Version> version(String versionName) {
    return versions.stream().filter(version -> version.name().equals(versionName)).findFirst();
  }
}
