package org.skylarkfork.core.configuration;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.skylarkfork.core.command.Command;
import org.skylarkfork.core.command.CommandResult;
import org.skylarkfork.core.command.ConfigurationCommand.SubmitChange;
import org.skylarkfork.core.command.ConfigurationResult;
import org.skylarkfork.core.command.ConfigurationState;
import org.skylarkfork.core.command.GroupState;
import org.skylarkfork.core.command.StateMachine;

/**
 * The state machine of the replicated configuration, with the answered change ids and the history.
 */
public final class ConfigurationMachine implements StateMachine {

  private final ChangeTable changes = new ChangeTable();
  private final ConfigurationHistory history = new ConfigurationHistory();
  private final ChangeApplier applier = new ChangeApplier(history);
  private Configuration configuration = Configuration.EMPTY;

  @Override
  public CommandResult apply(long index, Instant stampedAt, Command command) {
    if (!(command instanceof SubmitChange submitted)) {
      return new CommandResult.Rejected("send this command to the group that it belongs to");
    }
    RememberedChange remembered = changes.find(submitted.changeId());
    if (remembered != null) {
      return isResend(remembered, submitted)
          ? remembered.answer()
          : new ConfigurationResult.ChangeIdReused(submitted.changeId());
    }
    ConfigurationResult answer = decide(submitted, stampedAt);
    changes.add(
        new RememberedChange(
            submitted.changeId(), submitted.operator(), submitted.bodyHash(), stampedAt, answer));
    return answer;
  }

  private static boolean isResend(RememberedChange remembered, SubmitChange submitted) {
    return remembered.operator().equals(submitted.operator())
        && remembered.bodyHash().equals(submitted.bodyHash());
  }

  private ConfigurationResult decide(SubmitChange submitted, Instant stampedAt) {
    if (!isAuthorized(submitted)) {
      return new ConfigurationResult.UnknownOperator();
    }
    Long expected = submitted.expectedRevision();
    if (expected != null && expected != configuration.revision()) {
      return new ConfigurationResult.RevisionConflict(expected, configuration.revision());
    }
    List<ConfigurationProblem> missing = MissingValues.problems(submitted.change());
    if (!missing.isEmpty()) {
      return new ConfigurationResult.Invalid(missing);
    }
    try {
      Configuration next = applier.apply(configuration, submitted.change());
      ConfigurationStep step = ConfigurationStep.between(configuration, next);
      List<ConfigurationProblem> problems =
          ConfigurationValidator.problems(configuration, next, step.differences());
      if (!problems.isEmpty()) {
        return new ConfigurationResult.Invalid(problems);
      }
      accept(submitted, next, step, stampedAt);
      return new ConfigurationResult.Accepted(next.revision(), stampedAt);
    } catch (InapplicableChangeException e) {
      return new ConfigurationResult.Invalid(e.problems());
    }
  }

  /** Checks the operator's key again, since an earlier command in the log may have removed it. */
  private boolean isAuthorized(SubmitChange submitted) {
    String hash = submitted.operatorKeyHash();
    return hash == null
        || configuration.operatorKeys().isEmpty()
        || configuration.operatorKeys().stream().anyMatch(key -> key.sha256().equals(hash));
  }

  private void accept(
      SubmitChange submitted, Configuration next, ConfigurationStep step, Instant stampedAt) {
    history.add(
        new RevisionEntry(
            submitted.changeId(),
            submitted.operator(),
            stampedAt,
            submitted.change().getClass().getSimpleName(),
            step));
    configuration = next;
  }

  @Override
  public GroupState snapshot() {
    return new ConfigurationState(
        configuration, changes.accepted(), changes.refused(), history.entries());
  }

  @Override
  public void restore(GroupState state) {
    if (state instanceof ConfigurationState restored) {
      configuration = restored.configuration();
      changes.replace(restored.accepted(), restored.refused());
      history.replace(restored.history());
    } else {
      configuration = Configuration.EMPTY;
      changes.replace(List.of(), List.of());
      history.replace(List.of());
    }
  }

  /** Returns the newest configuration that is committed and applied on this replica. */
  public Configuration configuration() {
    return configuration;
  }

  /**
   * Returns the configuration at a revision, or empty if the history doesn't cover the revision.
   */
  public Optional<Configuration> at(long revision) {
    return history.at(configuration, revision);
  }

  /** Returns the oldest revision that {@link #at} returns. */
  public long oldestRevision() {
    return history.oldest(configuration);
  }

  /** Returns the most recent accepted changes, oldest first. */
  public List<RevisionEntry> history() {
    return history.entries();
  }

  /** Returns the change that created a revision, or empty if the history no longer holds it. */
  public Optional<RevisionEntry> entry(long revision) {
    return history.entry(revision);
  }
}
