package org.skylarkfork.standin.measure.daemon;

import java.time.Instant;
import java.util.function.Consumer;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.command.Command;
import org.skylarkfork.core.command.CommandResult;
import org.skylarkfork.core.command.GroupId;
import org.skylarkfork.core.command.LedgerCommand;
import org.skylarkfork.core.command.LedgerResult;
import org.skylarkfork.core.consensus.Submitter;
import org.skylarkfork.core.event.ConsensusEvent;
import org.skylarkfork.core.event.Event;
import org.skylarkfork.core.ledger.LedgerBounds;
import org.skylarkfork.core.ledger.LedgerMachine;
import org.skylarkfork.core.ledger.Statement;
import org.skylarkfork.standin.measure.VirtualTime;

/** A ledger group that agrees on each command after a fixed time. */
final class FakeGroup implements Submitter {

  private static final long COMMIT_MICROS = 3_000;

  private final VirtualTime time;
  private final Consumer<Event> daemon;
  private final LedgerMachine machine = new LedgerMachine(LedgerBounds.DEFAULT);
  private long submissions;
  private long index;

  FakeGroup(VirtualTime time, Consumer<Event> daemon) {
    this.time = time;
    this.daemon = daemon;
  }

  @Override
  public long newSubmissionId() {
    return ++submissions;
  }

  @Override
  public void submit(
      GroupId group,
      Command command,
      long submissionId,
      Instant deadline,
      Instant now,
      Output output) {
    time.after(
        COMMIT_MICROS,
        () -> {
          CommandResult result = machine.apply(++index, time.now(), command);
          daemon.accept(new ConsensusEvent.SubmissionAnswered(group, submissionId, result));
        });
  }

  /** Returns what a team has been billed. */
  Statement statement(String team) {
    CommandResult result =
        machine.apply(++index, time.now(), new LedgerCommand.ReadStatement(team));
    return ((LedgerResult.StatementRead) result).statement();
  }
}
