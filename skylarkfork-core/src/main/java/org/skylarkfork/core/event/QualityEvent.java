package org.skylarkfork.core.event;

import org.skylarkfork.core.configuration.ModelVersion;

/** What the evidence shows of versions; raised within the reducer. */
public sealed interface QualityEvent extends Event {

  /**
   * A version became suspect; from now on it gets no new sessions and no new session-less work.
   *
   * @param version the version
   * @param reason the signal and the figures that show it
   */
  record VersionSuspected(ModelVersion version, String reason) implements QualityEvent {}

  /**
   * A version is no longer suspect.
   *
   * @param version the version
   * @param reason why
   */
  record VersionCleared(ModelVersion version, String reason) implements QualityEvent {}
}
