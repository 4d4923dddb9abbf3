package org.skylarkfork.core.session;

import java.time.Instant;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/** The pins of one session. */
final class PinnedSession {

  /** Most daemons that an owner tells of changes; a caller seldom uses more entries at a time. */
  private static final int MAX_SUBSCRIBERS = 4;

  final Set<String> subscribers = new LinkedHashSet<>();
  Instant lastUsed = Instant.MIN;
  Instant confirmedAt = Instant.MIN;
  Instant storedAt = Instant.MIN;
  long confirmedEpoch = -1;
  long storedEpoch = -1;
  private final TreeMap<String, SessionPin> byModel = new TreeMap<>();

  List<SessionPin> pins() {
    return List.copyOf(byModel.values());
  }

  boolean isEmpty() {
    return byModel.isEmpty();
  }

  @Nullable SessionPin pin(String model) {
    return byModel.get(model);
  }

  /** Takes a pin if it prevails, and returns whether it did. */
  boolean merge(SessionPin pin) {
    SessionPin known = byModel.get(pin.model());
    if (known != null && !pin.overrides(known)) {
      return false;
    }
    byModel.put(pin.model(), pin);
    return true;
  }

  void addSubscriber(String node) {
    subscribers.remove(node);
    subscribers.add(node);
    if (subscribers.size() > MAX_SUBSCRIBERS) {
      subscribers.remove(subscribers.iterator().next());
    }
  }
}
