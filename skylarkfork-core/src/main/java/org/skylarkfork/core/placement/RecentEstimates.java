package org.skylarkfork.core.placement;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * Estimates by a name that callers choose, such as that of a model. The least recently used one is
 * dropped when there are too many, so that callers that use ever new names can't fill the memory.
 *
 * @param <V> an estimate
 */
public final class RecentEstimates<V> {

  /** Maximum number of estimates, well above the number of models in use. */
  public static final int MAX_ESTIMATES = 256;

  /** Maximum length of a name, in characters; longer ones share the estimate of their beginning. */
  private static final int MAX_NAME = 200;

  private final Map<String, V> byName = new LinkedHashMap<>(16, 0.75f, true);
  private final Supplier<V> initial;

  /**
   * Creates an empty collection.
   *
   * @param initial creates the estimate of a new name
   */
  public RecentEstimates(Supplier<V> initial) {
    this.initial = initial;
  }

  /** Returns the estimate of a name, a new one if it has none. */
  public V getOrCreate(String name) {
    V estimate = byName.computeIfAbsent(key(name), missing -> initial.get());
    if (byName.size() > MAX_ESTIMATES) {
      byName.remove(byName.keySet().iterator().next());
    }
    return estimate;
  }

  /** Returns the estimate of a name, or null if it has none. */
  public @Nullable V find(String name) {
    return byName.get(key(name));
  }

  /** Returns the number of estimates. */
  public int count() {
    return byName.size();
  }

  private static String key(String name) {
    return name.substring(0, Math.min(MAX_NAME, name.length()));
  }
}
