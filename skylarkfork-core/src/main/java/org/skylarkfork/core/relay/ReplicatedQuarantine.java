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

/** The list of quarantined requests, replicated in the log of the relay's group. */
final class ReplicatedQuarantine implements QuarantineList {

  /** Time after which a command that was not committed is abandoned. */
  private static final Duration COMMAND_TIMEOUT = Duration.ofSeconds(1);

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
    submitCommand(new RelayCommand.QuarantineRequest(key), now, output);
  }

  @Override
  public void lift(RequestKey key, Instant now, Output output) {
    submitCommand(new RelayCommand.LiftQuarantine(key), now, output);
  }

  private void submitCommand(RelayCommand command, Instant now, Output output) {
    output.effect(new TraceEffect.LogLine(true, "relay", "event=crash_review asks=" + command));
    consensus
        .submitter()
        .submit(
            GroupId.RELAY,
            command,
            consensus.submitter().newSubmissionId(),
            now.plus(COMMAND_TIMEOUT),
            now,
            output);
  }
}
