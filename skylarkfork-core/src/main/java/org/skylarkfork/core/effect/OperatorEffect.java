package org.skylarkfork.core.effect;

import java.time.Instant;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.configuration.Configuration;
import org.skylarkfork.core.configuration.ConfigurationProblem;
import org.skylarkfork.core.configuration.ConfigurationStep;
import org.skylarkfork.core.configuration.ModelVersion;
import org.skylarkfork.core.error.RoutingError;

/** Answers to operators' queries and commands. */
public sealed interface OperatorEffect extends Effect {

  /** Returns the id of the call that is answered. */
  String callId();

  /**
   * Rejects an operator's call.
   *
   * @param callId id of the call
   * @param error what went wrong and how to remedy it
   */
  record RefuseOperator(String callId, RoutingError error) implements OperatorEffect {}

  /**
   * Returns the result of a dry run.
   *
   * @param callId id of the call
   * @param rule name of the matching rule, or null if none matches
   * @param reason why the rule matches, condition by condition
   * @param version model and version that would be tried first, or null if the request would be
   *     refused
   */
  record DryRunResult(
      String callId, @Nullable String rule, String reason, @Nullable ModelVersion version)
      implements OperatorEffect {}

  /**
   * Reports that a change is accepted: it is committed and can't be lost, and new work follows it
   * once it is in force.
   *
   * @param callId id of the call
   * @param changeId the operator's id for the change
   * @param revision revision that the change created
   * @param acceptedAt time of the acceptance
   */
  record ChangeAccepted(String callId, String changeId, long revision, Instant acceptedAt)
      implements OperatorEffect {}

  /**
   * Rejects a change because the configuration has another revision than the one that the change is
   * based on; nothing was changed.
   *
   * @param callId id of the call
   * @param expected revision that the operator expected
   * @param present revision of the configuration
   * @param error the conflict in the form of an error
   */
  record ChangeConflict(String callId, long expected, long present, RoutingError error)
      implements OperatorEffect {}

  /**
   * Rejects an invalid change; nothing was changed.
   *
   * @param callId id of the call
   * @param problems problems of the change, each with its remedy
   * @param error the problems in the form of an error
   */
  record ChangeInvalid(String callId, List<ConfigurationProblem> problems, RoutingError error)
      implements OperatorEffect {

    /** Copies the problems. */
    public ChangeInvalid {
      problems = List.copyOf(problems);
    }
  }

  /**
   * Returns a configuration.
   *
   * @param callId id of the call
   * @param configuration the current configuration, or that of the queried old revision
   */
  record SendConfiguration(String callId, Configuration configuration) implements OperatorEffect {}

  /**
   * Returns accepted changes, newest first.
   *
   * @param callId id of the call
   * @param changes the changes, newest first
   * @param oldest oldest revision that can still be queried
   */
  record SendHistory(String callId, List<RevisionSummary> changes, long oldest)
      implements OperatorEffect {

    /** Copies the changes. */
    public SendHistory {
      changes = List.copyOf(changes);
    }
  }

  /**
   * An accepted change without its content.
   *
   * @param revision revision that the change created
   * @param changeId the operator's id for the change
   * @param operator id of the operator's key, or the name of the part that proposed the change
   * @param acceptedAt time of the acceptance
   * @param change kind of the change, such as {@code PutTeam}
   */
  record RevisionSummary(
      long revision, String changeId, String operator, Instant acceptedAt, String change) {}

  /**
   * Returns the differences between two revisions.
   *
   * @param callId id of the call
   * @param step the differences
   */
  record SendDifference(String callId, ConfigurationStep step) implements OperatorEffect {}

  /**
   * Reports whether a revision is in force on all daemons.
   *
   * @param callId id of the call
   * @param revision the revision
   * @param inForce whether no daemon may accept new work under an older revision any more
   * @param awaited daemons that may still do so; a bounded excerpt of all of them
   * @param awaitedCount number of all daemons that may still do so
   * @param unknownUntil time before which a new leader doesn't know all daemons; null once it knows
   *     them
   */
  record SendInForce(
      String callId,
      long revision,
      boolean inForce,
      List<AwaitedEntry> awaited,
      int awaitedCount,
      @Nullable Instant unknownUntil)
      implements OperatorEffect {

    /** Copies the daemons. */
    public SendInForce {
      awaited = List.copyOf(awaited);
    }
  }

  /**
   * A daemon that may still accept new work under an older revision.
   *
   * @param node node name of the daemon
   * @param revision last known revision of the daemon
   * @param until latest time at which the daemon's lease expires
   */
  record AwaitedEntry(String node, long revision, Instant until) {}

  /**
   * Reports that all groups have added a control VM, initially as a learner, or removed it.
   *
   * @param callId id of the call
   * @param node node name of the control VM
   * @param admit true if the control VM was added, false if it was removed
   */
  record ControlVmChanged(String callId, String node, boolean admit) implements OperatorEffect {}
}
