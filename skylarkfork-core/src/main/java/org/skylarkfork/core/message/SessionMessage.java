package org.skylarkfork.core.message;

import java.util.List;
import org.skylarkfork.core.session.SessionKey;
import org.skylarkfork.core.session.SessionPin;

/** Messages between entries and the owners of sessions. */
public sealed interface SessionMessage extends PeerMessage {

  /**
   * Stores pins at an owner, which answers with {@link PinsAnswer} where one of its own pins
   * overrides a stored one.
   *
   * @param pins pins of any number of sessions
   * @param follow whether the sender subscribes to later changes
   */
  record StorePins(List<SessionPin> pins, boolean follow) implements SessionMessage {

    /** Copies the pins. */
    public StorePins {
      pins = List.copyOf(pins);
    }
  }

  /**
   * Queries the pins of a session at an owner and subscribes to their changes. The subscription
   * expires after a while.
   *
   * @param key the session
   */
  record AskPins(SessionKey key) implements SessionMessage {}

  /**
   * Reports the pins of a session that an owner knows; sent as the answer to a query and to
   * subscribers after a change.
   *
   * @param key the session
   * @param pins pins of the session, at most one per model; empty if the owner knows none
   */
  record PinsAnswer(SessionKey key, List<SessionPin> pins) implements SessionMessage {

    /** Copies the pins. */
    public PinsAnswer {
      pins = List.copyOf(pins);
    }
  }
}
