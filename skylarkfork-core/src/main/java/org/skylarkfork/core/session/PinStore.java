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

  private final int maxSessions;
  private final Duration expiry;
  private final LinkedHashMap<SessionKey, PinnedSession> sessions =
      new LinkedHashMap<>(16, 0.75f, true);

  PinStore(int maxSessions, Duration expiry) {
    this.maxSessions = maxSessions;
    this.expiry = expiry;
  }

  /** Returns a session, new if need be, and makes it the one used last. */
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
    Iterator<Map.Entry<SessionKey, PinnedSession>> iterator = sessions.entrySet().iterator();
    while (iterator.hasNext() && iterator.next().getValue().lastUsed.plus(expiry).isBefore(now)) {
      iterator.remove();
    }
  }
}
