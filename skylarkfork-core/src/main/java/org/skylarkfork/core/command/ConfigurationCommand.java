package org.skylarkfork.core.command;

import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.configuration.ConfigurationChange;

/** Commands that change the configuration. */
public sealed interface ConfigurationCommand extends Command {

  /**
   * Asks for one change.
   *
   * @param changeId id that makes a resend harmless
   * @param operator id of the operator's key, or the name of the part that asks for it
   * @param operatorKeyHash hash of the operator's key, checked again when the command is applied;
   *     null if the system itself asks
   * @param expectedRevision revision that the operator saw, or null to apply to whichever it is
   * @param change the change
   * @param bodyHash hash of the change and the expected revision, to tell a resend from another
   *     change under the same id
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
