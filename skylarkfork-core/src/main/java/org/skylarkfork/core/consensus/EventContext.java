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
 * Context in which one event is processed: the time and the output for effects and events.
 *
 * @param self name of this daemon
 * @param now the current time
 * @param output receives effects and raised events
 */
record EventContext(String self, Instant now, Output output) {

  /**
   * Sends a message; a message to this daemon itself is raised as an event after the current one.
   */
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

  /** Logs a decision of a replica for operators, with the values behind it. */
  void log(GroupId group, String event, String facts) {
    output.effect(
        new TraceEffect.LogLine(false, "raft", "event=" + event + " group=" + group + " " + facts));
  }
}
