package org.skylarkfork.core.event;

import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.configuration.ConfigurationChange;
import org.skylarkfork.core.request.CallerRequest;

/** What operators ask for. */
public sealed interface OperatorEvent extends Event {

  /** Returns the id by which the answer finds its way back. */
  String callId();

  /**
   * An operator asks which rule a request would match.
   *
   * @param callId id of the call
   * @param team name of the team that would send it
   * @param request the request; it is not run
   */
  record DryRun(String callId, String team, CallerRequest request) implements OperatorEvent {}

  /**
   * An operator asks for a change.
   *
   * @param callId id of the call
   * @param operatorKeyHash SHA-256 in lower-case hex of the operator's key
   * @param changeId the operator's id for the change; a resend has the same
   * @param expectedRevision revision that the operator saw, or null to apply to whichever it is
   * @param change the change
   */
  record ChangeRequested(
      String callId,
      String operatorKeyHash,
      String changeId,
      @Nullable Long expectedRevision,
      ConfigurationChange change)
      implements OperatorEvent {}

  /**
   * An operator asks for the configuration applied on this daemon.
   *
   * @param callId id of the call
   * @param operatorKeyHash SHA-256 in lower-case hex of the operator's key
   */
  record ConfigurationRequested(String callId, String operatorKeyHash) implements OperatorEvent {}

  /**
   * An operator asks for an old revision.
   *
   * @param callId id of the call
   * @param operatorKeyHash SHA-256 in lower-case hex of the operator's key
   * @param revision the revision
   */
  record RevisionRequested(String callId, String operatorKeyHash, long revision)
      implements OperatorEvent {}

  /**
   * An operator asks which changes were accepted.
   *
   * @param callId id of the call
   * @param operatorKeyHash SHA-256 in lower-case hex of the operator's key
   * @param before only revisions below this one, or 0 for the newest
   * @param most how many at most; bounded to 200
   */
  record HistoryRequested(String callId, String operatorKeyHash, long before, int most)
      implements OperatorEvent {}

  /**
   * An operator asks what differs between two revisions.
   *
   * @param callId id of the call
   * @param operatorKeyHash SHA-256 in lower-case hex of the operator's key
   * @param from the one revision
   * @param to the other revision, older or newer
   */
  record DifferenceRequested(String callId, String operatorKeyHash, long from, long to)
      implements OperatorEvent {}

  /**
   * An operator asks whether a revision is in force everywhere.
   *
   * @param callId id of the call
   * @param operatorKeyHash SHA-256 in lower-case hex of the operator's key
   * @param revision the revision
   */
  record InForceRequested(String callId, String operatorKeyHash, long revision)
      implements OperatorEvent {}

  /**
   * An operator takes a control VM into all replicated groups or out of them; the key was checked.
   *
   * @param callId id of the call
   * @param node node name of the control VM
   * @param admit whether it is taken in, else it is taken out
   */
  record ControlVmRequested(String callId, String node, boolean admit) implements OperatorEvent {}
}
