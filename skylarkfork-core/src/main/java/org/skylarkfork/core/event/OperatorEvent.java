package org.skylarkfork.core.event;

import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.configuration.ConfigurationChange;
import org.skylarkfork.core.request.CallerRequest;

/** Queries and commands of operators, submitted by the operators' HTTP interface. */
public sealed interface OperatorEvent extends Event {

  /** Returns the id that matches the answer with the call. */
  String callId();

  /**
   * Queries which rule a request would match.
   *
   * @param callId id of the call
   * @param team name of the team that would send it
   * @param request the request, which is not run
   */
  record DryRun(String callId, String team, CallerRequest request) implements OperatorEvent {}

  /**
   * Requests a change of the configuration.
   *
   * @param callId id of the call
   * @param operatorKeyHash SHA-256 in lower-case hex of the operator's key
   * @param changeId the operator's id for the change; a resend has the same id
   * @param expectedRevision revision that the change is based on, or null to apply the change to
   *     any revision
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
   * Queries the configuration that is applied on this daemon.
   *
   * @param callId id of the call
   * @param operatorKeyHash SHA-256 in lower-case hex of the operator's key
   */
  record ConfigurationRequested(String callId, String operatorKeyHash) implements OperatorEvent {}

  /**
   * Queries the configuration of an old revision.
   *
   * @param callId id of the call
   * @param operatorKeyHash SHA-256 in lower-case hex of the operator's key
   * @param revision the revision
   */
  record RevisionRequested(String callId, String operatorKeyHash, long revision)
      implements OperatorEvent {}

  /**
   * Queries the accepted changes, newest first.
   *
   * @param callId id of the call
   * @param operatorKeyHash SHA-256 in lower-case hex of the operator's key
   * @param before exclusive upper bound of the returned revisions, or 0 to begin at the newest
   * @param most maximum number of changes; at most 200 are returned
   */
  record HistoryRequested(String callId, String operatorKeyHash, long before, int most)
      implements OperatorEvent {}

  /**
   * Queries the differences between two revisions.
   *
   * @param callId id of the call
   * @param operatorKeyHash SHA-256 in lower-case hex of the operator's key
   * @param from revision to compare from
   * @param to revision to compare to, older or newer
   */
  record DifferenceRequested(String callId, String operatorKeyHash, long from, long to)
      implements OperatorEvent {}

  /**
   * Queries whether a revision is in force on all daemons.
   *
   * @param callId id of the call
   * @param operatorKeyHash SHA-256 in lower-case hex of the operator's key
   * @param revision the revision
   */
  record InForceRequested(String callId, String operatorKeyHash, long revision)
      implements OperatorEvent {}

  /**
   * Requests that a control VM be added to or removed from all replicated groups. The operator's
   * key has already been checked.
   *
   * @param callId id of the call
   * @param node node name of the control VM
   * @param admit true to add the control VM, false to remove it
   */
  record ControlVmRequested(String callId, String node, boolean admit) implements OperatorEvent {}
}
