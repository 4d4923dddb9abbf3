package org.skylarkfork.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.skylarkfork.core.message.RelayMessage.CachedPrefix;
import org.skylarkfork.core.placement.PromptPrefixes;

/** Shared beginnings of prompts that this entry sent to engines and other entries don't know of. */
final class SentPrefixes {

  /** Time after which a use is told again, so that others see that an engine still keeps it. */
  private static final Duration AGAIN = Duration.ofMillis(1500);

  /** Beginnings that wait to be told; more are left out, which costs others a reading at most. */
  private static final int MOST_UNTOLD = 256;

  /** Beginnings whose last telling is remembered. */
  private static final int MOST_TOLD = 4096;

  private final Map<CachedPrefix, Instant> toldAt = new LinkedHashMap<>();
  private final List<CachedPrefix> untold = new ArrayList<>();

  /** Takes note of a prompt that was sent to an engine. */
  void recordSent(String upstream, PromptPrefixes chain, Instant now) {
    for (int place = 0; place < chain.sharedSize(); place++) {
      CachedPrefix prompt = new CachedPrefix(upstream, chain.key(place));
      Instant told = toldAt.get(prompt);
      boolean due = told == null || !now.isBefore(told.plus(AGAIN));
      if (due && untold.size() < MOST_UNTOLD) {
        untold.add(prompt);
        remember(prompt, now);
      }
    }
  }

  private void remember(CachedPrefix prompt, Instant now) {
    toldAt.remove(prompt);
    toldAt.put(prompt, now);
    if (toldAt.size() > MOST_TOLD) {
      toldAt.remove(toldAt.keySet().iterator().next());
    }
  }

  /** Hands out the oldest of what is to be told. */
  List<CachedPrefix> takeUnreported(int most) {
    List<CachedPrefix> taken = untold.subList(0, Math.min(most, untold.size()));
    List<CachedPrefix> copy = List.copyOf(taken);
    taken.clear();
    return copy;
  }
}
