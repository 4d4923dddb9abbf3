package org.skylarkfork.core.event;

import org.skylarkfork.core.configuration.ModelVersion;

/** Verdicts on model versions from the quality evidence; raised within the reducer. */
public sealed interface QualityEvent extends Event {

  /**
   * A version became suspect; from now on it receives no new sessions and no new requests without a
   * session.
   *
   * @param version the version
   * @param reason the signal and the figures that the verdict is based on
   */
  record VersionSuspected(ModelVersion version, String reason) implements QualityEvent {}

  /**
   * A version is no longer suspect.
   *
   * @param version the version
   * @param reason why the verdict was withdrawn
   */
  record VersionCleared(ModelVersion version, String reason) implements QualityEvent {}
}
