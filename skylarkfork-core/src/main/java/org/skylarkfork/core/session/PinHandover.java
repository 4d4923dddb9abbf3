package org.skylarkfork.core.session;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.effect.PeerEffect;
import org.skylarkfork.core.message.SessionMessage;

/**
 * Sends the pins kept here to daemons that have become owners, at a bounded rate.
 *
 * <p>Without it the loss of a session's second owner, hours after that of the first, would lose the
 * pin: the caller would see its session change its version.
 */
final class PinHandover {

  private static final Duration ROUND_INTERVAL = Duration.ofMillis(100);
  private static final int ROUNDS_PER_SECOND = 10;

  private final String self;
  private final PinStore owned;
  private final int sessionsPerRound;
  private SessionOwners previousOwners;
  private SessionOwners currentOwners;
  private List<SessionKey> keys = List.of();
  private int position;
  private Instant nextRound = Instant.MIN;

  PinHandover(String self, PinStore owned, int sessionsPerSecond, SessionOwners owners) {
    this.self = self;
    this.owned = owned;
    sessionsPerRound = Math.max(1, sessionsPerSecond / ROUNDS_PER_SECOND);
    previousOwners = owners;
    currentOwners = owners;
  }

  /** Starts over, from the owners before the first change that isn't yet handled. */
  void ownersChanged(SessionOwners owners, String restarted) {
    previousOwners = (position < keys.size() ? previousOwners : currentOwners).without(restarted);
    currentOwners = owners;
    keys = owned.keys();
    position = 0;
  }

  void tick(Instant now, Output output) {
    if (position >= keys.size() || now.isBefore(nextRound)) {
      return;
    }
    nextRound = now.plus(ROUND_INTERVAL);
    Map<String, List<SessionPin>> batches = new TreeMap<>();
    int end = Math.min(keys.size(), position + sessionsPerRound);
    for (; position < end; position++) {
      collect(keys.get(position), batches);
    }
    batches.forEach(
        (node, pins) ->
            output.effect(
                new PeerEffect.SendToPeer(node, new SessionMessage.StorePins(pins, false))));
  }

  private void collect(SessionKey key, Map<String, List<SessionPin>> batches) {
    PinnedSession session = owned.peek(key);
    if (session == null || session.isEmpty()) {
      return;
    }
    List<String> previous = previousOwners.of(key);
    for (String owner : currentOwners.of(key)) {
      if (!owner.equals(self) && !previous.contains(owner)) {
        batches.computeIfAbsent(owner, node -> new ArrayList<>()).addAll(session.pins());
      }
    }
  }
}
