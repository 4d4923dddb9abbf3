package org.skylarkfork.core.relay;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** The requests in progress at an entry, indexed by request number. */
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

  /**
   * Returns the request if the attempt is its newest one, else null; events of older attempts are
   * ignored.
   */
  @Nullable ActiveRelay find(long number, int attempt) {
    ActiveRelay relay = byNumber.get(number);
    return relay != null && relay.attempt == attempt ? relay : null;
  }

  /** Returns a copy of the list of all requests in progress, oldest first. */
  List<ActiveRelay> all() {
    return new ArrayList<>(byNumber.values());
  }

  int count() {
    return byNumber.size();
  }
}
