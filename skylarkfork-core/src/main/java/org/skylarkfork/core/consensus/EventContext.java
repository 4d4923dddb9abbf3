package org.skylarkfork.core.consensus;

import java.time.Instant;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.command.GroupId;
import org.skylarkfork.core.effect.Effect;
import org.skylarkfork.core.effect.PeerEffect;
import org.skylarkfork.core.effect.TraceEffect;
import org.skylarkfork.core.event.Event;
import org.skylarkfork.core.event.PeerEvent;
import org.skylarkfork.core.message.RaftMessage;

/**
 * The handling of one event: its time and where its results go.
 *
 * @param self name of this daemon
 * @param now the present time
 * @param output where effects and events go
 */
record EventContext(String self, Instant now, Output output) {

  /** Sends a message; one to this daemon itself arrives as an event after the present one. */
  void send(String node, RaftMessage message) {
    if (node.equals(self)) {
      output.raise(new PeerEvent.MessageReceived(self, message));
    } else {
      output.effect(new PeerEffect.SendToPeer(node, message));
    }
  }

  void effect(Effect effect) {
    output.effect(effect);
  }

  void raise(Event event) {
    output.raise(event);
  }

  /** Tells operators of a replica's decision, with what it rests on. */
  void log(GroupId group, String event, String facts) {
    output.effect(
        new TraceEffect.LogLine(false, "raft", "event=" + event + " group=" + group + " " + facts));
  }
}
