package org.skylarkfork.core.consensus;

import java.time.Instant;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.command.Command;
import org.skylarkfork.core.command.GroupId;

/** Submits commands to a replicated group, wherever its leader is. */
public interface Submitter {

  /** Returns a submission id that is unique within this process. */
  long newSubmissionId();

  /**
   * Sends a command to the group's leader and resends it until a result arrives or the deadline has
   * passed.
   *
   * <p>The command may be appended more than once, so it must be idempotent by its own key. The
   * result arrives as {@code ConsensusEvent.SubmissionAnswered} or {@code SubmissionFailed}, never
   * before this method has returned.
   *
   * @param group the group, hosted here or not
   * @param command the command
   * @param submissionId an id from {@link #newSubmissionId}
   * @param deadline time after which the submission fails
   * @param now the current time
   * @param output receives messages and events
   */
  void submit(
      GroupId group,
      Command command,
      long submissionId,
      Instant deadline,
      Instant now,
      Output output);
}
