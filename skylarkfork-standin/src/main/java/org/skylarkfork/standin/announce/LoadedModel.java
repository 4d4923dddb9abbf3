package org.skylarkfork.standin.announce;

import java.util.List;
import java.util.Objects;

/**
 * A version that an engine has loaded.
 *
 * @param model the name of the model
 * @param version the version of the model
 * @param adapters the names of the loaded adapters; none if absent
 */
public record LoadedModel(String model, String version, List<String> adapters) {

  /** Copies the adapters. */
  public LoadedModel {
    Objects.requireNonNull(model, "model");
    Objects.requireNonNull(version, "version");
    adapters = adapters == null ? List.of() : List.copyOf(adapters);
  }

  /**
   * Gives the name by which calls ask for this version.
   *
   * @return the model and the version, with a colon between
   */
  public String key() {
    return model + ":" + version;
  }
}
