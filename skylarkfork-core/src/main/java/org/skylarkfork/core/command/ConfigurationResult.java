package org.skylarkfork.core.command;

import java.time.Instant;
import java.util.List;
import org.skylarkfork.core.configuration.ConfigurationProblem;

/** Results of configuration commands. */
public sealed interface ConfigurationResult extends CommandResult {

  /**
   * The change is accepted and can't be lost.
   *
   * @param revision the revision that it made
   * @param acceptedAt when the leader took it into the log
   */
  record Accepted(long revision, Instant acceptedAt) implements ConfigurationResult {}

  /**
   * The configuration has another revision than the operator saw; nothing changed.
   *
   * @param expected the revision that the operator gave
   * @param present the revision there was
   */
  record RevisionConflict(long expected, long present) implements ConfigurationResult {}

  /**
   * The change id was used before with another content or by another operator; nothing changed.
   *
   * @param changeId the id
   */
  record ChangeIdReused(String changeId) implements ConfigurationResult {}

  /**
   * The change, or the configuration that it would make, is wrong; nothing changed.
   *
   * @param problems what is wrong, each with its remedy
   */
  record Invalid(List<ConfigurationProblem> problems) implements ConfigurationResult {

    /** Copies the problems. */
    public Invalid {
      problems = List.copyOf(problems);
    }
  }

  /** The operator's key was removed in the meantime; nothing changed. */
  record UnknownOperator() implements ConfigurationResult {}
}
