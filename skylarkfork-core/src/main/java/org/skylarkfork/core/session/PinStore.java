package org.skylarkfork.core.session;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** Store of sessions in the order of their last use, with a maximum size and an expiry. */
final class PinStore {

  private final int maxSessions;
  private final Duration expiry;
  private final LinkedHashMap<SessionKey, PinnedSession> sessions =
      new LinkedHashMap<>(16, 0.75f, true);

  PinStore(int maxSessions, Duration expiry) {
    this.maxSessions = maxSessions;
    this.expiry = expiry;
  }

  /**
   * Returns a session, created if absent, and marks it as the most recently used.
   *
   * <p>If the store then exceeds its maximum size, the least recently used session is removed.
   */
  PinnedSession getOrCreate(SessionKey key, Instant now) {
    PinnedSession session = sessions.computeIfAbsent(key, unused -> new PinnedSession());
    session.lastUsed = now;
    if (sessions.size() > maxSessions) {
      Iterator<SessionKey> leastRecentlyUsed = sessions.keySet().iterator();
      leastRecentlyUsed.next();
      leastRecentlyUsed.remove();
    }
    return session;
  }

  /** Returns a session without changing the time of its last use, or null if absent. */
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
    Iterator<Map.Entry<SessionKey, PinnedSession>> iterator = sessions.entrySet().iterator();
    while (iterator.hasNext() && iterator.next().getValue().lastUsed.plus(expiry).isBefore(now)) {
      iterator.remove();
    }
  }
}
