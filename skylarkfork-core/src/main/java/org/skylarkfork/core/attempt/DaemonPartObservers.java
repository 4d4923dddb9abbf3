package org.skylarkfork.core.attempt;

import java.util.List;
import java.util.function.Supplier;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.crash.PartObservers;
import org.skylarkfork.core.effect.PeerEffect.SendToPeer;
import org.skylarkfork.core.event.PeerEvent;
import org.skylarkfork.core.message.CrashMessage.PartsSuspected;

/** Asks all daemons, each of which may be an entry. */
public final class DaemonPartObservers implements PartObservers {

  private final String self;
  private final Supplier<List<String>> daemons;

  /**
   * Creates the observers.
   *
   * @param self name of this daemon
   * @param daemons returns the names of the daemons that are alive
   */
  public DaemonPartObservers(String self, Supplier<List<String>> daemons) {
    this.self = self;
    this.daemons = daemons;
  }

  @Override
  public void ask(PartsSuspected question, Output output) {
    for (String daemon : daemons.get()) {
      if (daemon.equals(self)) {
        output.raise(new PeerEvent.MessageReceived(self, question));
      } else {
        output.effect(new SendToPeer(daemon, question));
      }
    }
  }
}
