package org.skylarkfork.core.admission;

import java.time.Instant;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.configuration.Limits;

/** What a team uses through this entry, against its share of its limits. */
final class TeamUsage {

  private static final double SECONDS_PER_MINUTE = 60;

  private Limits limits = Limits.NONE;
  private @Nullable TokenBucket requests;
  private @Nullable TokenBucket tokens;
  private int running;

  /** Follows the present share of the limits. */
  void follow(Limits share, Instant now) {
    if (share.equals(limits)) {
      return;
    }
    limits = share;
    double perSecond = share.requestsPerSecond();
    requests = follow(requests, perSecond, Math.max(1, perSecond), now);
    double tokensPerSecond = share.tokensPerMinute() / SECONDS_PER_MINUTE;
    tokens = follow(tokens, tokensPerSecond, share.tokensPerMinute(), now);
  }

  private static @Nullable TokenBucket follow(
      @Nullable TokenBucket bucket, double perSecond, double most, Instant now) {
    if (perSecond <= 0) {
      return null;
    }
    if (bucket == null) {
      return new TokenBucket(perSecond, most, now);
    }
    bucket.change(perSecond, most, now);
    return bucket;
  }

  /** Returns whether a request of an estimated length keeps within the limits now. */
  boolean mayStart(long estimatedTokens, Instant now) {
    boolean slot = limits.concurrentRequests() == 0 || running < limits.concurrentRequests();
    return slot
        && (requests == null || requests.has(1, now))
        && (tokens == null || tokens.has(estimatedTokens, now));
  }

  void started(long estimatedTokens, Instant now) {
    running++;
    if (requests != null) {
      requests.take(1, now);
    }
    if (tokens != null) {
      tokens.take(estimatedTokens, now);
    }
  }

  /** Takes note of an end; of the estimated tokens, those not used are given back. */
  void ended(long estimatedTokens, long usedTokens, Instant now) {
    running--;
    if (tokens != null) {
      tokens.giveBack(estimatedTokens - usedTokens, now);
    }
  }

  /**
   * Returns in how many seconds the limits let a request through, at the least.
   *
   * @param ahead requests of the team that wait before it
   * @param estimatedTokens its estimated length
   * @param serviceSeconds mean time that a request runs, or 0 if unknown
   * @param now the present time
   */
  double secondsUntil(int ahead, long estimatedTokens, double serviceSeconds, Instant now) {
    double byRate = requests == null ? 0 : requests.secondsUntil(ahead + 1, now);
    long wanted = Math.min(estimatedTokens, limits.tokensPerMinute());
    double byTokens = tokens == null ? 0 : tokens.secondsUntil(wanted, now);
    int slots = limits.concurrentRequests();
    double byConcurrency =
        slots == 0 || running + ahead < slots
            ? 0
            : (running + ahead + 1 - slots) * serviceSeconds / slots;
    return Math.max(byRate, Math.max(byTokens, byConcurrency));
  }
}
