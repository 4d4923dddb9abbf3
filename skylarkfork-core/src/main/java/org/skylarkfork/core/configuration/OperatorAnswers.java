package org.skylarkfork.core.configuration;

import java.util.List;
import java.util.stream.Collectors;
import org.skylarkfork.core.command.CommandResult;
import org.skylarkfork.core.command.ConfigurationResult;
import org.skylarkfork.core.effect.OperatorEffect;
import org.skylarkfork.core.error.ErrorKind;
import org.skylarkfork.core.error.RoutingError;
import org.skylarkfork.core.request.RunState;

/** Puts results of the configuration group into words for operators. */
final class OperatorAnswers {

  private static final long RETRY_AFTER_MILLIS = 1000;

  private OperatorAnswers() {}

  static OperatorEffect forChange(String callId, String changeId, CommandResult result) {
    if (result instanceof ConfigurationResult.Accepted accepted) {
      return new OperatorEffect.ChangeAccepted(
          callId, changeId, accepted.revision(), accepted.acceptedAt());
    }
    if (result instanceof ConfigurationResult.RevisionConflict conflict) {
      String message =
          "the change expects revision "
              + conflict.expected()
              + " but the configuration is at "
              + conflict.present()
              + "; read it again and send the change with a new change id";
      return new OperatorEffect.ChangeConflict(
          callId,
          conflict.expected(),
          conflict.present(),
          RoutingError.notRun(ErrorKind.CONFLICT, message));
    }
    if (result instanceof ConfigurationResult.Invalid invalid) {
      return invalid(callId, invalid.problems());
    }
    if (result instanceof ConfigurationResult.ChangeIdReused) {
      return refuse(
          callId,
          ErrorKind.CONFLICT,
          "the change id " + changeId + " was used for another change; use a new change id");
    }
    if (result instanceof ConfigurationResult.UnknownOperator) {
      return unknownKey(callId);
    }
    return refuse(callId, ErrorKind.INTERNAL, "unexpected result " + result);
  }

  static OperatorEffect invalid(String callId, List<ConfigurationProblem> problems) {
    String message =
        problems.stream()
            .map(problem -> problem.subject() + ": " + problem.message())
            .collect(Collectors.joining(" | "));
    return new OperatorEffect.ChangeInvalid(
        callId, problems, RoutingError.notRun(ErrorKind.BAD_REQUEST, message));
  }

  static OperatorEffect unknownKey(String callId) {
    return refuse(
        callId, ErrorKind.UNAUTHORIZED, "the operator key is unknown; use a key that is in force");
  }

  static OperatorEffect refuse(String callId, ErrorKind kind, String message) {
    return new OperatorEffect.RefuseOperator(callId, RoutingError.notRun(kind, message));
  }

  static OperatorEffect retryLater(String callId, String message) {
    return new OperatorEffect.RefuseOperator(
        callId, RoutingError.notRunRetry(ErrorKind.NOT_SERVING, message, RETRY_AFTER_MILLIS));
  }

  /** Tells that a change got no result in time. */
  static OperatorEffect changeUnanswered(String callId, boolean mayHaveApplied, String remedy) {
    if (!mayHaveApplied) {
      return retryLater(callId, "the change was not accepted: " + remedy);
    }
    String message =
        "the change may or may not be accepted; send it again with the same change id: " + remedy;
    return new OperatorEffect.RefuseOperator(
        callId,
        new RoutingError(ErrorKind.NOT_SERVING, message, RunState.UNKNOWN, RETRY_AFTER_MILLIS));
  }
}
