package org.skylarkfork.standin.measure;

import java.time.Duration;
import java.time.Instant;
import java.util.function.LongFunction;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.Part;
import org.skylarkfork.core.command.Command;
import org.skylarkfork.core.command.CommandResult;
import org.skylarkfork.core.command.GroupId;
import org.skylarkfork.core.command.LedgerResult;
import org.skylarkfork.core.consensus.Submitter;
import org.skylarkfork.core.event.ConsensusEvent;
import org.skylarkfork.core.event.Event;
import org.skylarkfork.core.event.LifecycleEvent;

/** Submits commands to a group, a bounded number at a time and up to a rate. */
final class SubmittingPart implements Part {

  private static final Duration WAIT = Duration.ofSeconds(30);
  private static final double TICKS_A_SECOND = 50;

  private final GroupId group;
  private final Submitter submitter;
  private final LongFunction<Command> commands;
  private final int window;
  private final double perTick;
  private final long most;
  private double due;
  private long submitted;
  private volatile boolean stopped;
  private volatile long answered;
  private volatile long refused;

  /**
   * Makes the part.
   *
   * @param group where commands go
   * @param submitter the way to it
   * @param commands gives the command of a number, from 0
   * @param window most commands that wait for their result
   * @param perSecond most commands a second, or 0 for no bound
   * @param most most commands in all
   */
  SubmittingPart(
      GroupId group,
      Submitter submitter,
      LongFunction<Command> commands,
      int window,
      double perSecond,
      long most) {
    this.group = group;
    this.submitter = submitter;
    this.commands = commands;
    this.window = window;
    this.perTick = perSecond / TICKS_A_SECOND;
    this.most = most;
  }

  long answered() {
    return answered;
  }

  long refused() {
    return refused;
  }

  void stop() {
    stopped = true;
  }

  @Override
  public void apply(Event event, Instant now, Output output) {
    if (event instanceof LifecycleEvent.Tick) {
      due += perTick;
      submit(now, output);
    } else if (event instanceof ConsensusEvent.SubmissionAnswered answer) {
      answered++;
      boolean bad =
          answer.result() instanceof CommandResult.Rejected
              || answer.result() instanceof LedgerResult.ClaimsFull;
      refused += bad ? 1 : 0;
      submit(now, output);
    } else if (event instanceof ConsensusEvent.SubmissionFailed) {
      answered++;
      refused++;
    }
  }

  private void submit(Instant now, Output output) {
    while (!stopped && submitted < most && submitted - answered < window) {
      if (perTick > 0 && due < 1) {
        return;
      }
      due = perTick > 0 ? due - 1 : 0;
      Command command = commands.apply(submitted);
      submitted++;
      submitter.submit(group, command, submitter.newSubmissionId(), now.plus(WAIT), now, output);
    }
  }
}
