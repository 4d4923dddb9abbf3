package org.skylarkfork.core.command;

import java.time.Instant;
import java.util.List;
import org.skylarkfork.core.configuration.ConfigurationProblem;

/** Results of configuration commands. */
public sealed interface ConfigurationResult extends CommandResult {

  /**
   * The change was accepted and is durable.
   *
   * @param revision the revision that the change created
   * @param acceptedAt when the leader appended the change to the log, by the leader's clock
   */
  record Accepted(long revision, Instant acceptedAt) implements ConfigurationResult {}

  /**
   * The configuration has a different revision than the operator expects; nothing changed.
   *
   * @param expected the revision that the operator expects
   * @param present the revision of the configuration
   */
  record RevisionConflict(long expected, long present) implements ConfigurationResult {}

  /**
   * The change id was used before for another change or by another operator; nothing changed.
   *
   * @param changeId the id
   */
  record ChangeIdReused(String changeId) implements ConfigurationResult {}

  /**
   * The change, or the configuration that it would create, is invalid; nothing changed.
   *
   * @param problems the problems, each with its remedy
   */
  record Invalid(List<ConfigurationProblem> problems) implements ConfigurationResult {

    /** Copies the problems. */
    public Invalid {
      problems = List.copyOf(problems);
    }
  }

  /** The operator's key was removed before the command was applied; nothing changed. */
  record UnknownOperator() implements ConfigurationResult {}
}
