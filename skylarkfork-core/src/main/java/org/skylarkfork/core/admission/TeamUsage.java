package org.skylarkfork.core.admission;

import java.time.Instant;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.configuration.Limits;

/** What a team uses through this entry, against its share of its limits. */
final class TeamUsage {

  private static final double SECONDS_PER_MINUTE = 60;

  /** How soon to come back while this entry has no share at all, in seconds. */
  private static final double NO_SHARE_RETRY_SECONDS = 1;

  private Limits limits = Limits.NONE;
  private @Nullable TokenBucket requests;
  private @Nullable TokenBucket tokens;
  private int running;
  private long submittedRequests;
  private long submittedTokens;

  /** Follows the present share of the limits. */
  void applyShare(Limits share, Instant now) {
    if (share.equals(limits)) {
      return;
    }
    limits = share;
    double perSecond = share.requestsPerSecond();
    requests = applyShare(requests, perSecond, Math.max(1, perSecond), now);
    double tokensPerSecond = share.tokensPerMinute() / SECONDS_PER_MINUTE;
    tokens = applyShare(tokens, tokensPerSecond, Math.max(0, share.tokensPerMinute()), now);
  }

  private static @Nullable TokenBucket applyShare(
      @Nullable TokenBucket bucket, double perSecond, double capacity, Instant now) {
    if (perSecond == 0) {
      return null;
    }
    // An entry without a share keeps an empty bucket. A new one would be full, and a share that
    // comes and goes would fill it each time.
    double refillRate = Math.max(0, perSecond);
    if (bucket == null) {
      return new TokenBucket(refillRate, capacity, now);
    }
    bucket.reconfigure(refillRate, capacity, now);
    return bucket;
  }

  /**
   * Returns whether a request of an estimated length keeps within the limits now.
   *
   * <p>Where this entry has no share at present, a draft waits for one. A lookup doesn't: one at a
   * time may start, lest the first ones of a race wait for a message between entries. The limit is
   * exceeded by one lookup an entry at most, for as long as that lookup takes.
   */
  boolean mayStart(long estimatedTokens, boolean lookup, Instant now) {
    if (hasNoShare() && !(lookup && running == 0)) {
      return false;
    }
    boolean slot = limits.concurrentRequests() <= 0 || running < limits.concurrentRequests();
    return slot
        && (requests == null || requests.isAvailable(1, now))
        && (tokens == null || tokens.isAvailable(estimatedTokens, now));
  }

  private boolean hasNoShare() {
    return limits.concurrentRequests() < 0 || limits.tokensPerMinute() < 0;
  }

  /** Takes note that the team asked for a request, whatever becomes of it. */
  void recordSubmission(long estimatedTokens) {
    submittedRequests++;
    submittedTokens += estimatedTokens;
  }

  /** Returns what the team asks of this entry, with as many requests waiting. */
  TeamLoad load(int waiting) {
    return new TeamLoad(running, waiting, submittedRequests, submittedTokens);
  }

  void recordStart(long estimatedTokens, Instant now) {
    running++;
    if (requests != null) {
      requests.consume(1, now);
    }
    if (tokens != null) {
      tokens.consume(estimatedTokens, now);
    }
  }

  /** Takes note of an end; of the estimated tokens, those not used are given back. */
  void recordEnd(long estimatedTokens, long usedTokens, Instant now) {
    running--;
    if (tokens != null) {
      tokens.refund(estimatedTokens - usedTokens, now);
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
    if (hasNoShare()) {
      return NO_SHARE_RETRY_SECONDS;
    }
    double byRate = requests == null ? 0 : requests.secondsUntil(ahead + 1, now);
    long neededTokens = Math.min(estimatedTokens, limits.tokensPerMinute());
    double byTokens = tokens == null ? 0 : tokens.secondsUntil(neededTokens, now);
    int slots = limits.concurrentRequests();
    double byConcurrency =
        slots == 0 || running + ahead < slots
            ? 0
            : (running + ahead + 1 - slots) * serviceSeconds / slots;
    return Math.max(byRate, Math.max(byTokens, byConcurrency));
  }
}
