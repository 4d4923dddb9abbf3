package org.skylarkfork.core.quality;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.skylarkfork.core.configuration.ModelVersion;

/** The newest verdict on each version; merging is idempotent and in any order. */
final class Verdicts {

  private final Map<ModelVersion, Verdict> verdicts = new HashMap<>();

  /** Takes in a verdict and returns whether it holds now and didn't before. */
  boolean merge(Verdict received) {
    Verdict current = verdicts.get(received.version());
    if (current != null && !received.overrides(current)) {
      return false;
    }
    verdicts.put(received.version(), received);
    return true;
  }

  Optional<Verdict> of(ModelVersion version) {
    return Optional.ofNullable(verdicts.get(version));
  }

  boolean isSuspect(ModelVersion version) {
    Verdict verdict = verdicts.get(version);
    return verdict != null && verdict.suspect();
  }

  /** Returns all verdicts in the order of versions. */
  List<Verdict> all() {
    return verdicts.values().stream().sorted(Comparator.comparing(Verdict::version)).toList();
  }
}
