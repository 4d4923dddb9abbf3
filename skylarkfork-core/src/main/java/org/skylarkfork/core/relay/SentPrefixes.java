package org.skylarkfork.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.skylarkfork.core.message.RelayMessage.CachedPrefix;
import org.skylarkfork.core.placement.PromptPrefixes;

/**
 * Shared prefixes of prompts that this entry sent to engines and has not yet reported to other
 * entries.
 */
final class SentPrefixes {

  /**
   * Time after which the use of a prefix is reported again, so that others know that an engine
   * still has it cached.
   */
  private static final Duration REPEAT_INTERVAL = Duration.ofMillis(1500);

  /**
   * Maximum number of unreported prefixes; further ones are dropped, which costs other entries at
   * most one prefill.
   */
  private static final int MAX_UNREPORTED = 256;

  /** Maximum number of prefixes whose last report is remembered. */
  private static final int MAX_REPORTED = 4096;

  private final Map<CachedPrefix, Instant> reportedAt = new LinkedHashMap<>();
  private final List<CachedPrefix> unreported = new ArrayList<>();

  /** Records a prompt that was sent to an engine. */
  void recordSent(String upstream, PromptPrefixes prefixes, Instant now) {
    for (int index = 0; index < prefixes.sharedSize(); index++) {
      CachedPrefix prompt = new CachedPrefix(upstream, prefixes.key(index));
      Instant lastReport = reportedAt.get(prompt);
      boolean due = lastReport == null || !now.isBefore(lastReport.plus(REPEAT_INTERVAL));
      if (due && unreported.size() < MAX_UNREPORTED) {
        unreported.add(prompt);
        rememberReport(prompt, now);
      }
    }
  }

  private void rememberReport(CachedPrefix prompt, Instant now) {
    reportedAt.remove(prompt);
    reportedAt.put(prompt, now);
    if (reportedAt.size() > MAX_REPORTED) {
      reportedAt.remove(reportedAt.keySet().iterator().next());
    }
  }

  /** Removes and returns the oldest unreported prefixes, up to a number. */
  List<CachedPrefix> takeUnreported(int limit) {
    List<CachedPrefix> taken = unreported.subList(0, Math.min(limit, unreported.size()));
    List<CachedPrefix> copy = List.copyOf(taken);
    taken.clear();
    return copy;
  }
}
