package org.skylarkfork.core.effect;

import java.time.Instant;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.configuration.Configuration;
import org.skylarkfork.core.configuration.ConfigurationProblem;
import org.skylarkfork.core.configuration.ConfigurationStep;
import org.skylarkfork.core.configuration.ModelVersion;
import org.skylarkfork.core.error.RoutingError;

/** Answers to operators. */
public sealed interface OperatorEffect extends Effect {

  /** Returns the id of the call that is answered. */
  String callId();

  /**
   * Refuses an operator's call.
   *
   * @param callId id of the call
   * @param error what went wrong and what to do
   */
  record RefuseOperator(String callId, RoutingError error) implements OperatorEffect {}

  /**
   * Tells what a dry run found.
   *
   * @param callId id of the call
   * @param rule name of the rule that matched, or null if none did
   * @param reason why it matched, condition by condition
   * @param version model and version that would be tried first, or null if it would be refused
   */
  record DryRunResult(
      String callId, @Nullable String rule, String reason, @Nullable ModelVersion version)
      implements OperatorEffect {}

  /**
   * Tells that a change is accepted: it can't be lost, and new work follows it once in force.
   *
   * @param callId id of the call
   * @param changeId the operator's id for the change
   * @param revision the revision that it made
   * @param acceptedAt when it was accepted
   */
  record ChangeAccepted(String callId, String changeId, long revision, Instant acceptedAt)
      implements OperatorEffect {}

  /**
   * Tells that the configuration has another revision than the operator saw; nothing changed.
   *
   * @param callId id of the call
   * @param expected the revision that the operator gave
   * @param present the revision there was
   * @param error the same as an error
   */
  record ChangeConflict(String callId, long expected, long present, RoutingError error)
      implements OperatorEffect {}

  /**
   * Tells what is wrong with a change; nothing changed.
   *
   * @param callId id of the call
   * @param problems what is wrong, each with its remedy
   * @param error the same as an error
   */
  record ChangeInvalid(String callId, List<ConfigurationProblem> problems, RoutingError error)
      implements OperatorEffect {

    /** Copies the problems. */
    public ChangeInvalid {
      problems = List.copyOf(problems);
    }
  }

  /**
   * Sends a configuration.
   *
   * @param callId id of the call
   * @param configuration the present one or that of an old revision
   */
  record SendConfiguration(String callId, Configuration configuration) implements OperatorEffect {}

  /**
   * Sends accepted changes, newest first.
   *
   * @param callId id of the call
   * @param changes the changes
   * @param oldest oldest revision that can still be read
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
   * @param revision the revision that it made
   * @param changeId the operator's id for the change
   * @param operator id of the operator's key, or the name of the part that asked for it
   * @param acceptedAt when it was accepted
   * @param change kind of the change, such as {@code PutTeam}
   */
  record RevisionSummary(
      long revision, String changeId, String operator, Instant acceptedAt, String change) {}

  /**
   * Sends what differs between two revisions.
   *
   * @param callId id of the call
   * @param step the differences
   */
  record SendDifference(String callId, ConfigurationStep step) implements OperatorEffect {}

  /**
   * Tells whether a revision is in force everywhere.
   *
   * @param callId id of the call
   * @param revision the revision
   * @param inForce whether no daemon can take new work under an older revision any more
   * @param awaited daemons that still may, at most a few of them
   * @param awaitedCount how many there are
   * @param unknownUntil a new leader doesn't know all daemons before this time; null once it does
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
   * A daemon that may still take new work under an older revision.
   *
   * @param node its name
   * @param revision the revision that it was last known to have
   * @param until when its lease has run out at the latest
   */
  record AwaitedEntry(String node, long revision, Instant until) {}

  /**
   * Tells that all groups took a control VM in, as a learner at first, or out.
   *
   * @param callId id of the call
   * @param node node name of the control VM
   * @param admit whether it was taken in
   */
  record ControlVmChanged(String callId, String node, boolean admit) implements OperatorEffect {}
}
