package org.skylarkfork.core.relay;

import java.time.Duration;
import java.time.Instant;

/** The time for which an upstream has asked this entry to send nothing. */
final class RequestedBackoff {

  /** Longest backoff; an upstream that wants no requests for longer announces that it leaves. */
  static final Duration MAX = Duration.ofHours(1);

  private Instant until = Instant.EPOCH;

  /** Returns whether the backoff lasts. */
  boolean isActive(Instant now) {
    return now.isBefore(until);
  }

  /** Returns the remaining time, or zero if the backoff has ended. */
  Duration remaining(Instant now) {
    return isActive(now) ? Duration.between(now, until) : Duration.ZERO;
  }

  /**
   * Extends the backoff to a time from now; never shortens it, since answers may overtake each
   * other.
   */
  void extend(Duration requested, Instant now) {
    Duration bounded = requested.compareTo(MAX) < 0 ? requested : MAX;
    Instant end = now.plus(bounded);
    until = end.isAfter(until) ? end : until;
  }
}
