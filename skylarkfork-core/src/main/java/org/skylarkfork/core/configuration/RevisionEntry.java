package org.skylarkfork.core.configuration;

import java.time.Instant;

/**
 * An accepted change in the history.
 *
 * @param changeId the operator's id for the change
 * @param operator id of the operator's key, or the name of the part that proposed the change
 * @param acceptedAt when the leader appended the change to the log, by the leader's clock
 * @param change type of the change, such as {@code PutTeam}
 * @param step the differences that the change made, with the revisions before and after
 */
public record RevisionEntry(
    String changeId, String operator, Instant acceptedAt, String change, ConfigurationStep step) {

  /** Returns the revision that the change created. */
  public long revision() {
    return step.to();
  }
}
