package org.skylarkfork.core.command;

import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.configuration.ConfigurationChange;

/** Commands that change the configuration. */
public sealed interface ConfigurationCommand extends Command {

  /**
   * Submits one change.
   *
   * @param changeId id that makes a resend idempotent
   * @param operator id of the operator's key, or the name of the part that proposes the change
   * @param operatorKeyHash hash of the operator's key, checked again when the command is applied;
   *     null if the system itself proposes the change
   * @param expectedRevision revision that the operator saw, or null to apply the change to any
   *     revision
   * @param change the change
   * @param bodyHash hash of the change and the expected revision, which distinguishes a resend from
   *     another change with the same id
   */
  record SubmitChange(
      String changeId,
      String operator,
      @Nullable String operatorKeyHash,
      @Nullable Long expectedRevision,
      ConfigurationChange change,
      String bodyHash)
      implements ConfigurationCommand {}
}
