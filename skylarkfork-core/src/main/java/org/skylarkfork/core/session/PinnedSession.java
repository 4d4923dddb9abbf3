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
  private static final int MOST_ASKERS = 4;

  final Set<String> askers = new LinkedHashSet<>();
  Instant lastUsed = Instant.MIN;
  Instant askedAt = Instant.MIN;
  Instant storedAt = Instant.MIN;
  long askedEpoch = -1;
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

  void addAsker(String node) {
    askers.remove(node);
    askers.add(node);
    if (askers.size() > MOST_ASKERS) {
      askers.remove(askers.iterator().next());
    }
  }
}
