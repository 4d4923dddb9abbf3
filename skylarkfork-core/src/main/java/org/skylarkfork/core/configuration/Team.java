package org.skylarkfork.core.configuration;

import java.util.List;

/**
 * A team of callers, the unit of access and limits.
 *
 * @param name name of the team
 * @param keys its keys, hashed
 * @param allowedModels models that the team's drafts may run on
 * @param allowedServices names of the plain services that the team may call
 * @param limits the team's limits over all entries
 * @param weight the team's relative share of contended capacity, above 0
 */
public record Team(
    String name,
    List<Key> keys,
    List<AllowedModel> allowedModels,
    List<String> allowedServices,
    Limits limits,
    int weight) {

  /** Copies the lists. */
  public Team {
    keys = List.copyOf(keys);
    allowedModels = List.copyOf(allowedModels);
    allowedServices = List.copyOf(allowedServices);
  }

  /**
   * A key of a team, stored only as its hash.
   *
   * @param id name by which operators refer to the key
   * @param sha256 SHA-256 of the key in lower-case hex
   */
  public record Key(String id, String sha256) {}

  /**
   * A model that the team's drafts may run on.
   *
   * @param model name of the model
   * @param versions the allowed versions; empty allows all
   */
  public record AllowedModel(String model, List<String> versions) {

    /** Copies the versions. */
    public AllowedModel {
      versions = List.copyOf(versions);
    }

    /** Returns whether the version is allowed. */
    public boolean allows(ModelVersion version) {
      return model.equals(version.model())
          && (versions.isEmpty() || versions.contains(version.version()));
    }
  }

  /** Returns whether the team's drafts may run on the version. */
  public boolean allows(ModelVersion version) {
    return allowedModels.stream().anyMatch(allowed -> allowed.allows(version));
  }

  /** Returns whether the team may call the service. */
  public boolean allowsService(String service) {
    return allowedServices.contains(service);
  }
}
