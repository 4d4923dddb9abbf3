package org.skylarkfork.core.consensus;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.Part;
import org.skylarkfork.core.command.Command;
import org.skylarkfork.core.command.CommandResult;
import org.skylarkfork.core.command.GroupCommand;
import org.skylarkfork.core.command.GroupId;
import org.skylarkfork.core.effect.OperatorEffect;
import org.skylarkfork.core.error.ErrorKind;
import org.skylarkfork.core.error.RoutingError;
import org.skylarkfork.core.event.ConsensusEvent;
import org.skylarkfork.core.event.Event;
import org.skylarkfork.core.event.OperatorEvent;
import org.skylarkfork.core.request.RunState;

/**
 * Adds control VMs to all replicated groups or removes them at an operator's request.
 *
 * <p>Each group changes independently, so one group may have changed when another refuses. A
 * repeated request is harmless: a group that has already changed reports that immediately.
 */
public final class ControlVmPart implements Part {

  private static final Duration SUBMISSION_TIMEOUT = Duration.ofSeconds(8);
  private static final long RETRY_AFTER_MILLIS = 1000;

  private final List<GroupId> groups;
  private final Submitter submitter;
  private final Map<Long, Call> bySubmission = new HashMap<>();

  /**
   * Creates the part.
   *
   * @param groups all replicated groups
   * @param submitter submits the commands to the groups
   */
  public ControlVmPart(List<GroupId> groups, Submitter submitter) {
    this.groups = List.copyOf(groups);
    this.submitter = submitter;
  }

  @Override
  public void apply(Event event, Instant now, Output output) {
    if (event instanceof OperatorEvent.ControlVmRequested requested) {
      start(requested, now, output);
    } else if (event instanceof ConsensusEvent.SubmissionAnswered answered) {
      Call call = bySubmission.remove(answered.submissionId());
      if (call != null) {
        answered(call, answered, output);
      }
    } else if (event instanceof ConsensusEvent.SubmissionFailed failed) {
      Call call = bySubmission.remove(failed.submissionId());
      if (call != null) {
        refuse(call, failed.remedy(), output);
      }
    }
  }

  private void start(OperatorEvent.ControlVmRequested requested, Instant now, Output output) {
    Call call = new Call(requested, new HashSet<>(groups));
    Command command =
        requested.admit()
            ? new GroupCommand.AdmitMember(requested.node())
            : new GroupCommand.RemoveMember(requested.node());
    for (GroupId group : groups) {
      long submission = submitter.newSubmissionId();
      bySubmission.put(submission, call);
      submitter.submit(group, command, submission, now.plus(SUBMISSION_TIMEOUT), now, output);
    }
  }

  private void answered(Call call, ConsensusEvent.SubmissionAnswered answered, Output output) {
    if (answered.result() instanceof CommandResult.Rejected rejected) {
      refuse(call, answered.group() + ": " + rejected.remedy(), output);
      return;
    }
    call.pendingGroups().remove(answered.group());
    if (call.pendingGroups().isEmpty()) {
      output.effect(
          new OperatorEffect.ControlVmChanged(
              call.request().callId(), call.request().node(), call.request().admit()));
    }
  }

  private void refuse(Call call, String remedy, Output output) {
    bySubmission.values().removeIf(call::equals);
    output.effect(
        new OperatorEffect.RefuseOperator(
            call.request().callId(),
            new RoutingError(ErrorKind.NOT_SERVING, remedy, RunState.UNKNOWN, RETRY_AFTER_MILLIS)));
  }

  private record Call(OperatorEvent.ControlVmRequested request, Set<GroupId> pendingGroups) {}
}
