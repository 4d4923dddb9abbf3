package org.skylarkfork.core.relay;

import java.time.Duration;
import java.time.Instant;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.admission.TokenBucket;

/** Keeps a daemon's sends to rate-limited upstreams within the daemon's part of the limits. */
final class RateLimiter {

  private static final double MILLIS_PER_SECOND = 1000;

  private final RateDivision division;

  RateLimiter(RateDivision division) {
    this.division = division;
  }

  /** A daemon's quota at one upstream for as long as the upstream reports a limit. */
  static final class Quota {

    /** The daemon's remaining part, or null while it has none. */
    private @Nullable TokenBucket bucket;

    private Instant since = Instant.EPOCH;

    /** Whether the limit has been divided before. */
    private boolean settled;
  }

  /** Returns whether this daemon may send one more request to an upstream now. */
  boolean allows(RelayService service, TrackedUpstream upstream, Instant now) {
    if (!upstream.rateLimit().isBounded()) {
      upstream.rate().quota(null);
      return true;
    }
    TokenBucket bucket = bucket(service, upstream, now);
    return bucket != null && bucket.isAvailable(1, now);
  }

  /** Records a request that this daemon sends to an upstream of its own choice. */
  void recordSent(RelayService service, TrackedUpstream upstream, Instant now) {
    if (upstream.rateLimit().isBounded()) {
      TokenBucket bucket = bucket(service, upstream, now);
      if (bucket != null) {
        bucket.consume(1, now);
      }
    }
  }

  /**
   * Returns the time until an upstream accepts one more request, from this daemon or another one.
   */
  Duration timeUntilAllowed(RelayService service, TrackedUpstream upstream, Instant now) {
    if (allows(service, upstream, now)) {
      return Duration.ZERO;
    }
    TokenBucket bucket = bucket(service, upstream, now);
    double seconds =
        bucket == null
            ? 1 / RateDivision.perSecond(upstream.rateLimit())
            : bucket.secondsUntil(1, now);
    return Duration.ofMillis((long) Math.ceil(seconds * MILLIS_PER_SECOND));
  }

  private @Nullable TokenBucket bucket(
      RelayService service, TrackedUpstream upstream, Instant now) {
    Quota known = upstream.rate().quota();
    Quota account = known == null ? new Quota() : known;
    upstream.rate().quota(account);
    RateShare share = division.share(service, upstream, now);
    TokenBucket bucket = account.bucket;
    if (share.isNone()) {
      bucket = null;
    } else if (bucket != null && account.since.equals(share.since())) {
      bucket.reconfigure(share.perSecond(), share.burst(), now);
    } else {
      bucket = new TokenBucket(share.perSecond(), share.burst(), now);
      // A part that is assigned later, after other entries' restarts, begins empty: another entry
      // may have just used it up.
      bucket.consume(share.burst() - (account.settled ? 0 : share.initialTokens()), now);
      account.since = share.since();
    }
    account.bucket = bucket;
    account.settled = true;
    return bucket;
  }
}
