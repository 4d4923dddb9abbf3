package org.skylarkfork.core.routing;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.skylarkfork.core.request.CallerRequest;
import org.skylarkfork.core.upstream.Announcement;
import org.skylarkfork.core.upstream.CacheEvent;
import org.skylarkfork.core.upstream.LoadedModel;

/** Remembers which engine may hold a prompt's prefix; a hint that may be wrong at any time. */
final class PrefixHints {

  private static final int MAX_PREFIXES = 8_192;
  private static final int MAX_BLOCKS = 8;
  private static final String DISPATCHED_KEY = "routed here";

  private final Map<String, String> holders =
      new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, String> eldest) {
          return size() > MAX_PREFIXES;
        }
      };

  /** Takes in an engine's cache events. */
  void recordCacheEvents(Announcement announcement) {
    for (CacheEvent event : announcement.cacheEvents()) {
      if (event.stored()) {
        holders.put(event.prefix(), announcement.id());
      } else {
        holders.remove(event.prefix(), announcement.id());
      }
    }
  }

  /** Takes note that a request was sent to an upstream, which caches its prefixes by that. */
  void recordDispatch(CallerRequest request, String upstream) {
    for (String prefix : PromptPrefixes.of(DISPATCHED_KEY, request.prompt(), MAX_BLOCKS)) {
      holders.put(prefix, upstream);
    }
  }

  /**
   * Returns who may hold the longest known prefix of a request.
   *
   * @param candidate any candidate, for the names of the models that may be meant
   */
  Optional<String> holder(CallerRequest request, Announcement candidate) {
    Optional<String> dispatched = longestPrefixHolder(DISPATCHED_KEY, request);
    if (dispatched.isPresent()) {
      return dispatched;
    }
    for (LoadedModel model : candidate.models()) {
      Optional<String> reported =
          longestPrefixHolder(model.model() + ":" + model.version(), request);
      if (reported.isPresent()) {
        return reported;
      }
    }
    return Optional.empty();
  }

  private Optional<String> longestPrefixHolder(String modelKey, CallerRequest request) {
    List<String> prefixes = PromptPrefixes.of(modelKey, request.prompt(), MAX_BLOCKS);
    for (int i = prefixes.size() - 1; i >= 0; i--) {
      String holder = holders.get(prefixes.get(i));
      if (holder != null) {
        return Optional.of(holder);
      }
    }
    return Optional.empty();
  }
}
