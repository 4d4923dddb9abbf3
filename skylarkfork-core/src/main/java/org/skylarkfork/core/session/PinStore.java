package org.skylarkfork.core.session;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** Sessions in the order of their last use, bounded in number and in age. */
final class PinStore {

  private final int bound;
  private final Duration expiry;
  private final LinkedHashMap<SessionKey, PinnedSession> sessions =
      new LinkedHashMap<>(16, 0.75f, true);

  PinStore(int bound, Duration expiry) {
    this.bound = bound;
    this.expiry = expiry;
  }

  /** Returns a session, new if need be, and makes it the one used last. */
  PinnedSession useOrAdd(SessionKey key, Instant now) {
    PinnedSession session = sessions.computeIfAbsent(key, added -> new PinnedSession());
    session.lastUsed = now;
    if (sessions.size() > bound) {
      Iterator<SessionKey> longestUnused = sessions.keySet().iterator();
      longestUnused.next();
      longestUnused.remove();
    }
    return session;
  }

  /** Returns a session without prolonging its life, or null. */
  @Nullable PinnedSession peek(SessionKey key) {
    return sessions.get(key);
  }

  List<SessionKey> keys() {
    return new ArrayList<>(sessions.keySet());
  }

  int size() {
    return sessions.size();
  }

  void expire(Instant now) {
    Iterator<Map.Entry<SessionKey, PinnedSession>> it = sessions.entrySet().iterator();
    while (it.hasNext() && it.next().getValue().lastUsed.plus(expiry).isBefore(now)) {
      it.remove();
    }
  }
}
