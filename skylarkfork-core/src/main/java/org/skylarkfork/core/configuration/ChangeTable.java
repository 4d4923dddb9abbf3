package org.skylarkfork.core.configuration;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.command.ConfigurationResult;

/**
 * First answers by change id.
 *
 * <p>Refusals are kept too. A command may be appended twice; if the first one was refused and its
 * answer given, a second one that is accepted later would make the refusal untrue. They have a
 * bound of their own, so that many refusals can't push out an acceptance.
 */
final class ChangeTable {

  static final Duration RETENTION = Duration.ofHours(24);
  static final int MAX_ACCEPTED = 20_000;
  static final int MAX_REFUSED = 2_000;

  private final Map<String, RememberedChange> accepted = new LinkedHashMap<>();
  private final Map<String, RememberedChange> refused = new LinkedHashMap<>();

  @Nullable RememberedChange find(String changeId) {
    RememberedChange change = accepted.get(changeId);
    return change != null ? change : refused.get(changeId);
  }

  void add(RememberedChange change) {
    if (change.answer() instanceof ConfigurationResult.Accepted) {
      accepted.put(change.changeId(), change);
    } else {
      refused.put(change.changeId(), change);
    }
    trim(accepted, MAX_ACCEPTED, change.at());
    trim(refused, MAX_REFUSED, change.at());
  }

  private static void trim(Map<String, RememberedChange> changes, int maxSize, Instant now) {
    Iterator<RememberedChange> oldestFirst = changes.values().iterator();
    while (oldestFirst.hasNext()) {
      RememberedChange oldest = oldestFirst.next();
      if (changes.size() <= maxSize && oldest.at().plus(RETENTION).isAfter(now)) {
        return;
      }
      oldestFirst.remove();
    }
  }

  List<RememberedChange> accepted() {
    return List.copyOf(accepted.values());
  }

  List<RememberedChange> refused() {
    return List.copyOf(refused.values());
  }

  void replace(Collection<RememberedChange> newAccepted, Collection<RememberedChange> newRefused) {
    accepted.clear();
    refused.clear();
    newAccepted.forEach(change -> accepted.put(change.changeId(), change));
    newRefused.forEach(change -> refused.put(change.changeId(), change));
  }
}
