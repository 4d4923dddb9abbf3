package org.skylarkfork.core.relay;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** The requests that an entry works on, by their numbers. */
final class ActiveRelays {

  private final Map<Long, ActiveRelay> byNumber = new LinkedHashMap<>();

  void add(ActiveRelay relay) {
    byNumber.put(relay.request.number(), relay);
  }

  void remove(ActiveRelay relay) {
    byNumber.remove(relay.request.number());
  }

  @Nullable ActiveRelay find(long number) {
    return byNumber.get(number);
  }

  /** Returns a request if an attempt is its newest one; what older ones did no longer matters. */
  @Nullable ActiveRelay find(long number, int attempt) {
    ActiveRelay relay = byNumber.get(number);
    return relay != null && relay.attempt == attempt ? relay : null;
  }

  /** Returns all, oldest first; the list stays as it is when requests end. */
  List<ActiveRelay> all() {
    return new ArrayList<>(byNumber.values());
  }

  int count() {
    return byNumber.size();
  }
}
