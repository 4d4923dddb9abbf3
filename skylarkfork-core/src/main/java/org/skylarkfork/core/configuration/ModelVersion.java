package org.skylarkfork.core.configuration;

/**
 * Identifies one version of a model.
 *
 * @param model name of the model
 * @param version name of the version
 */
public record ModelVersion(String model, String version) implements Comparable<ModelVersion> {

  @Override
  public int compareTo(ModelVersion other) {
    int byModel = model.compareTo(other.model);
    return byModel != 0 ? byModel : version.compareTo(other.version);
  }

  /** Returns the model name used in requests to engines, such as {@code ruling-small:2}. */
  @Override
  public String toString() {
    return model + ":" + version;
  }
}
