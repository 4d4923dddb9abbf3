package org.skylarkfork.core.relay;

import org.skylarkfork.core.Output;
import org.skylarkfork.core.crash.PartObservers;
import org.skylarkfork.core.effect.PeerEffect.SendToPeer;
import org.skylarkfork.core.message.CrashMessage.PartsSuspected;

/** Asks the entries that poll the leader. */
final class EntryPartObservers implements PartObservers {

  private final EntryRegistry entries;

  EntryPartObservers(EntryRegistry entries) {
    this.entries = entries;
  }

  @Override
  public void ask(PartsSuspected question, Output output) {
    entries.nodes().forEach(entry -> output.effect(new SendToPeer(entry, question)));
  }
}
