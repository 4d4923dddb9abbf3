package org.skylarkfork.core.relay;

import java.util.HashMap;
import java.util.Map;
import org.skylarkfork.core.Part;
import org.skylarkfork.core.command.Command;
import org.skylarkfork.core.command.GroupCommand;
import org.skylarkfork.core.event.ConsensusEvent;

/**
 * Checks that all control VMs apply the same commands and that each term has at most one leader.
 */
final class AgreementCheck {

  private final Map<Long, Command> commandByIndex = new HashMap<>();
  private final Map<Long, String> leaderByTerm = new HashMap<>();

  /** Returns the part that checks the events of one control VM. */
  Part part(String name) {
    return (event, now, output) -> {
      if (event instanceof ConsensusEvent.CommandCommitted committed) {
        checkCommand(name, committed);
      } else if (event instanceof ConsensusEvent.LeaderChanged changed
          && name.equals(changed.node())) {
        checkLeader(name, changed.term());
      }
    };
  }

  private void checkCommand(String name, ConsensusEvent.CommandCommitted committed) {
    if (committed.command() instanceof GroupCommand) {
      return;
    }
    Command other = commandByIndex.putIfAbsent(committed.index(), committed.command());
    if (other != null && !other.equals(committed.command())) {
      throw new AssertionError(name + " applied " + committed + " in place of " + other);
    }
  }

  private void checkLeader(String name, long term) {
    String other = leaderByTerm.putIfAbsent(term, name);
    if (other != null && !other.equals(name)) {
      throw new AssertionError("two leaders in term " + term);
    }
  }
}
