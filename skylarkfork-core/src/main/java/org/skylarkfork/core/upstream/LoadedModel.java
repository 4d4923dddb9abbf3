package org.skylarkfork.core.upstream;

import java.util.List;

/**
 * A model and version that an engine has loaded.
 *
 * @param model name of the model
 * @param version name of the version
 * @param adapters names of the adapters that are loaded with the model
 */
public record LoadedModel(String model, String version, List<String> adapters) {

  /** Copies the adapters. */
  public LoadedModel {
    adapters = List.copyOf(adapters);
  }
}
