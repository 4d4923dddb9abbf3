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

  private static final Duration ROUND = Duration.ofMillis(100);
  private static final int ROUNDS_A_SECOND = 10;

  private final String self;
  private final PinStore owned;
  private final int perRound;
  private SessionOwners before;
  private SessionOwners after;
  private List<SessionKey> keys = List.of();
  private int position;
  private Instant nextRound = Instant.MIN;

  PinHandover(String self, PinStore owned, int perSecond, SessionOwners owners) {
    this.self = self;
    this.owned = owned;
    perRound = Math.max(1, perSecond / ROUNDS_A_SECOND);
    before = owners;
    after = owners;
  }

  /** Starts over, from the owners before the first change that isn't yet handled. */
  void ownersChanged(SessionOwners owners, String restarted) {
    before = (position < keys.size() ? before : after).without(restarted);
    after = owners;
    keys = owned.keys();
    position = 0;
  }

  void tick(Instant now, Output output) {
    if (position >= keys.size() || now.isBefore(nextRound)) {
      return;
    }
    nextRound = now.plus(ROUND);
    Map<String, List<SessionPin>> batches = new TreeMap<>();
    int end = Math.min(keys.size(), position + perRound);
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
    List<String> former = before.of(key);
    for (String owner : after.of(key)) {
      if (!owner.equals(self) && !former.contains(owner)) {
        batches.computeIfAbsent(owner, node -> new ArrayList<>()).addAll(session.pins());
      }
    }
  }
}
