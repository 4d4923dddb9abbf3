package org.skylarkfork.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.command.GroupId;
import org.skylarkfork.core.command.RelayCommand;
import org.skylarkfork.core.consensus.ConsensusPart;
import org.skylarkfork.core.crash.QuarantineList;
import org.skylarkfork.core.crash.RequestKey;
import org.skylarkfork.core.effect.TraceEffect;

/** The requests that the relay's entries refuse, in the log of its group. */
final class ReplicatedQuarantine implements QuarantineList {

  /** Time after which a command that was not agreed on is given up. */
  private static final Duration LIMIT = Duration.ofSeconds(1);

  private final RelayMachine machine;
  private final ConsensusPart consensus;

  ReplicatedQuarantine(RelayMachine machine, ConsensusPart consensus) {
    this.machine = machine;
    this.consensus = consensus;
  }

  @Override
  public List<RequestKey> keys() {
    return machine.quarantinedKeys();
  }

  @Override
  public void refuse(RequestKey key, Instant now, Output output) {
    ask(new RelayCommand.QuarantineRequest(key), now, output);
  }

  @Override
  public void lift(RequestKey key, Instant now, Output output) {
    ask(new RelayCommand.LiftQuarantine(key), now, output);
  }

  private void ask(RelayCommand command, Instant now, Output output) {
    output.effect(new TraceEffect.LogLine(true, "relay", "event=crash_review asks=" + command));
    consensus
        .submitter()
        .submit(
            GroupId.RELAY,
            command,
            consensus.submitter().newSubmissionId(),
            now.plus(LIMIT),
            now,
            output);
  }
}
