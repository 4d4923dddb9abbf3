package org.skylarkfork.core.overload;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/**
 * The services whose upstreams fall over if they have to reject too many requests in a second, as
 * their answers state.
 *
 * <p>The limit counts the rejections of all entries together, and no entry sees those of the
 * others. Each entry therefore leaves a rejecting upstream alone for so long that all entries
 * together cause no more rejections than it tolerates.
 */
public final class RejectionLimits {

  /** Value of a service whose answers state no limit. */
  public static final int NONE = -1;

  /** Time after the last answer with a limit for which it counts. */
  private static final Duration RETENTION = Duration.ofSeconds(5);

  private static final Duration MIN_PAUSE = Duration.ofSeconds(1);
  private static final Duration MAX_PAUSE = Duration.ofSeconds(5);

  private final Map<String, Limit> limits = new HashMap<>();

  /** Creates limits of no service. */
  public RejectionLimits() {}

  private record Limit(int perSecond, Instant statedAt) {}

  /**
   * Records the limit that an answer states.
   *
   * @param service service of the upstream
   * @param perSecond rejections in a second that one upstream tolerates
   * @param now the present time
   * @return whether the limit differs from the one that counted before
   */
  public boolean record(String service, int perSecond, Instant now) {
    int before = perSecond(service, now);
    limits.put(service, new Limit(perSecond, now));
    return before != perSecond;
  }

  /**
   * Returns the rejections in a second that an upstream of a service tolerates, or {@link #NONE}.
   */
  public int perSecond(String service, Instant now) {
    Limit limit = limits.get(service);
    return limit == null || now.isAfter(limit.statedAt.plus(RETENTION)) ? NONE : limit.perSecond;
  }

  /**
   * Returns for how long an entry sends nothing to an upstream that has rejected its request.
   *
   * @param service service of the upstream
   * @param entries number of entries
   * @param now the present time
   * @return the time, or zero if the service states no limit
   */
  public Duration pauseAfterRejection(String service, int entries, Instant now) {
    int perSecond = perSecond(service, now);
    if (perSecond == NONE) {
      return Duration.ZERO;
    }
    long entriesPerRejection = (long) Math.ceil((double) entries / Math.max(1, perSecond));
    Duration pause = MIN_PAUSE.multipliedBy(Math.max(1, entriesPerRejection));
    return pause.compareTo(MAX_PAUSE) < 0 ? pause : MAX_PAUSE;
  }
}
