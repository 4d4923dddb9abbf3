package org.skylarkfork.core.consensus;

import java.time.Instant;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.command.Command;
import org.skylarkfork.core.command.GroupId;

/** Has commands agreed on by a group, wherever its leader is. */
public interface Submitter {

  /** Returns a number for a submission that no other submission of this process has. */
  long newSubmissionId();

  /**
   * Sends a command to the group's leader, again and again until it is answered or too late.
   *
   * <p>The command may be appended more than once, so it must be idempotent by its own key. The
   * result comes as {@code ConsensusEvent.SubmissionAnswered} or {@code SubmissionFailed}, never
   * before this method has returned.
   *
   * @param group the group, hosted here or not
   * @param command the command
   * @param submissionId a number from {@link #newSubmissionId}
   * @param deadline time after which it is given up
   * @param now the present time
   * @param output where messages go
   */
  void submit(
      GroupId group,
      Command command,
      long submissionId,
      Instant deadline,
      Instant now,
      Output output);
}
