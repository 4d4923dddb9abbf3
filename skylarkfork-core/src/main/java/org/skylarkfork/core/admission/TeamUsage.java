package org.skylarkfork.core.admission;

import java.time.Instant;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.configuration.Limits;

/** A team's usage at this entry, compared with the entry's share of the team's limits. */
final class TeamUsage {

  private static final double SECONDS_PER_MINUTE = 60;

  /** Time until a retry while this entry has no share, in seconds. */
  private static final double NO_SHARE_RETRY_SECONDS = 1;

  private Limits limits = Limits.NONE;
  private @Nullable TokenBucket requests;
  private @Nullable TokenBucket tokens;
  private int running;
  private long submittedRequests;
  private long submittedTokens;

  /** Applies the current share of the limits. */
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
    // An entry without a share keeps an empty bucket. A new bucket would be full, and a share that
    // is lost and granted again would fill it each time.
    double refillRate = Math.max(0, perSecond);
    if (bucket == null) {
      return new TokenBucket(refillRate, capacity, now);
    }
    bucket.reconfigure(refillRate, capacity, now);
    return bucket;
  }

  /**
   * Returns whether a request of an estimated length is within the limits now.
   *
   * <p>While this entry has no share, drafts wait for one. Lookups may start one at a time, so that
   * the first lookups of a race don't wait for a message between entries. The limit is then
   * exceeded by at most one lookup per entry, for as long as that lookup takes.
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

  /** Records a submitted request, whether it is admitted or not. */
  void recordSubmission(long estimatedTokens) {
    submittedRequests++;
    submittedTokens += estimatedTokens;
  }

  /** Returns the team's load on this entry, given the number of its queued requests. */
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

  /** Records the end of a request and refunds the estimated tokens that it did not use. */
  void recordEnd(long estimatedTokens, long usedTokens, Instant now) {
    running--;
    if (tokens != null) {
      tokens.refund(estimatedTokens - usedTokens, now);
    }
  }

  /**
   * Returns the minimum time until the limits allow a request, in seconds.
   *
   * @param ahead queued requests of the team that are ahead of it
   * @param estimatedTokens estimated length of the request in tokens
   * @param serviceSeconds mean time that a request runs in seconds, or 0 if unknown
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
