package org.skylarkfork.core.relay;

import java.time.Duration;
import java.time.Instant;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.admission.TokenBucket;

/** Keeps a daemon's sends to upstreams that name a rate limit within its part of it. */
final class RateLimiter {

  private static final double MILLIS_A_SECOND = 1000;

  private final RateDivision division;

  RateLimiter(RateDivision division) {
    this.division = division;
  }

  /** A daemon's sends to one upstream for as long as that names a limit. */
  static final class Quota {

    /** What is left of the daemon's part, or null while it has none. */
    private @Nullable TokenBucket bucket;

    private Instant since = Instant.EPOCH;

    /** Whether the parts were divided before. */
    private boolean settled;
  }

  /** Returns whether an upstream may get one more request of this daemon now. */
  boolean allows(RelayService service, TrackedUpstream track, Instant now) {
    if (!track.rateLimit().isBounded()) {
      track.rate().quota(null);
      return true;
    }
    TokenBucket bucket = bucket(service, track, now);
    return bucket != null && bucket.isAvailable(1, now);
  }

  /** Takes note of a request that this daemon sends to an upstream by its own choice. */
  void recordSent(RelayService service, TrackedUpstream track, Instant now) {
    if (track.rateLimit().isBounded()) {
      TokenBucket bucket = bucket(service, track, now);
      if (bucket != null) {
        bucket.consume(1, now);
      }
    }
  }

  /** Returns the time until an upstream takes one more request, of this daemon or another one. */
  Duration timeUntilAllowed(RelayService service, TrackedUpstream track, Instant now) {
    if (allows(service, track, now)) {
      return Duration.ZERO;
    }
    TokenBucket bucket = bucket(service, track, now);
    double seconds =
        bucket == null
            ? 1 / RateDivision.perSecond(track.rateLimit())
            : bucket.secondsUntil(1, now);
    return Duration.ofMillis((long) Math.ceil(seconds * MILLIS_A_SECOND));
  }

  private @Nullable TokenBucket bucket(RelayService service, TrackedUpstream track, Instant now) {
    Quota known = track.rate().quota();
    Quota account = known == null ? new Quota() : known;
    track.rate().quota(account);
    RateShare share = division.share(service, track, now);
    TokenBucket bucket = account.bucket;
    if (share.isNone()) {
      bucket = null;
    } else if (bucket != null && account.since.equals(share.since())) {
      bucket.reconfigure(share.perSecond(), share.burst(), now);
    } else {
      bucket = new TokenBucket(share.perSecond(), share.burst(), now);
      // A part that comes later, with other entries' restarts, begins empty: another entry may
      // have just used it up.
      bucket.consume(share.burst() - (account.settled ? 0 : share.initialTokens()), now);
      account.since = share.since();
    }
    account.bucket = bucket;
    account.settled = true;
    return bucket;
  }
}
