package org.skylarkfork.core.configuration;

import java.time.Instant;

/**
 * One accepted change in the history.
 *
 * @param changeId the operator's id for the change
 * @param operator id of the operator's key, or the name of the part that asked for it
 * @param acceptedAt when the leader took it into the log
 * @param change name of the change's kind, such as {@code PutTeam}
 * @param step what it changed, and between which revisions
 */
public record RevisionEntry(
    String changeId, String operator, Instant acceptedAt, String change, ConfigurationStep step) {

  /** Returns the revision that the change led to. */
  public long revision() {
    return step.to();
  }
}
