package org.skylarkfork.core.message;

import java.util.List;
import org.skylarkfork.core.session.SessionKey;
import org.skylarkfork.core.session.SessionPin;

/** Messages to and from the owners of sessions. */
public sealed interface SessionMessage extends PeerMessage {

  /**
   * Gives pins to an owner; where another pin prevails it answers with {@link PinsAnswer}.
   *
   * @param pins the pins, of any sessions
   * @param follow whether the sender is to be told of later changes
   */
  record StorePins(List<SessionPin> pins, boolean follow) implements SessionMessage {

    /** Copies the pins. */
    public StorePins {
      pins = List.copyOf(pins);
    }
  }

  /**
   * Asks an owner for a session's pins, and to be told of changes for a while.
   *
   * @param key the session
   */
  record AskPins(SessionKey key) implements SessionMessage {}

  /**
   * Says which pins of a session an owner knows, asked or when one changed.
   *
   * @param key the session
   * @param pins its pins, one a model; empty if the owner knows none
   */
  record PinsAnswer(SessionKey key, List<SessionPin> pins) implements SessionMessage {

    /** Copies the pins. */
    public PinsAnswer {
      pins = List.copyOf(pins);
    }
  }
}
