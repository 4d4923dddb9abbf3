package org.skylarkfork.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.jspecify.annotations.Nullable;

/**
 * Picks the upstream with the shortest expected time until the first byte, adjusted for failures
 * and distance.
 *
 * <p>An upstream that has failed recently is picked only if no other is available, and a silent one
 * only after those. Cold upstreams are picked as far as {@link ColdStartLimiter} allows, and
 * upstreams that report a rate limit as far as {@link RateLimiter} allows. An upstream that asked
 * for a backoff isn't picked before its end, even if no other is available.
 */
final class LeastTimePicker implements UpstreamPicker {

  /**
   * Cost of sending to another zone, as milliseconds of wait. Transferring a prompt costs about a
   * hundredth of the credit of its answer, as much as a busy engine earns in some milliseconds.
   */
  private static final double OTHER_ZONE_MILLIS = 12.0;

  /**
   * Cost of sending to another zone if the own zone has engines enough to cache the shared parts of
   * its prompts.
   */
  private static final double OTHER_ZONE_CACHED_MILLIS = 60.0;

  /**
   * Number of engines of a zone from which on their memories hold the shared parts of its prompts.
   */
  private static final int MIN_CACHING_ENGINES = 4;

  /** Cost of a certain failure, as milliseconds of wait. */
  private static final double FAILURE_MILLIS = 500.0;

  /**
   * Preference for an upstream that reports a rate limit while it accepts a request, in
   * milliseconds. Any part of its limit that isn't used is lost, while the other upstreams have to
   * take all remaining requests; the value is only large enough to break ties.
   */
  private static final double LIMITED_PREFERENCE_MILLIS = 2.0;

  private final UpstreamSource upstreams;
  private final ColdStartLimiter coldStartLimiter;
  private final RateLimiter rateLimiter;
  private final UniformRandomProvider random;
  private final EngineLatencyModel engineTimes;
  private final CallLatencyModel callTimes;
  private final BrittleUpstreamRooms rooms;

  LeastTimePicker(
      UpstreamSource upstreams,
      ColdStartLimiter coldStartLimiter,
      RateLimiter rateLimiter,
      long seed) {
    this.upstreams = upstreams;
    this.coldStartLimiter = coldStartLimiter;
    this.rateLimiter = rateLimiter;
    this.random = RandomSource.XO_SHI_RO_256_PP.create(seed);
    this.engineTimes = new EngineLatencyModel(upstreams);
    this.callTimes = new CallLatencyModel();
    this.rooms = new BrittleUpstreamRooms(upstreams);
  }

  @Override
  public @Nullable Placement pick(PlacementQuery query, Instant now) {
    RelayService service = query.service();
    List<TrackedUpstream> usableUpstreams = usableUpstreams(query, now);
    EngineProfile engine = service.engine();
    if (engine != null && query.prefixes() != null) {
      return best(
          engineTimes.estimatorFor(query, engine, query.prefixes(), usableUpstreams, now),
          query,
          usableUpstreams,
          now);
    }
    return best(
        upstream -> callTimes.estimate(service, upstream, now), query, usableUpstreams, now);
  }

  private List<TrackedUpstream> usableUpstreams(PlacementQuery query, Instant now) {
    List<TrackedUpstream> ready = candidates(query, UpstreamCondition.READY, now);
    List<TrackedUpstream> healthy =
        ready.stream().filter(upstream -> !upstream.isAvoided(now)).toList();
    if (!healthy.isEmpty()) {
      return belowColdRate(query.service(), healthy, now);
    }
    return ready.isEmpty() ? candidates(query, UpstreamCondition.SILENT, now) : ready;
  }

  private List<TrackedUpstream> belowColdRate(
      RelayService service, List<TrackedUpstream> healthy, Instant now) {
    List<TrackedUpstream> others =
        healthy.stream()
            .filter(upstream -> !coldStartLimiter.exceedsColdRate(service, upstream, now))
            .toList();
    return others.isEmpty() ? healthy : others;
  }

  private List<TrackedUpstream> candidates(
      PlacementQuery query, UpstreamCondition condition, Instant now) {
    RelayService service = query.service();
    List<TrackedUpstream> matching = new ArrayList<>();
    for (TrackedUpstream upstream : upstreams.upstreams(service.name())) {
      boolean fits =
          upstream.condition() == condition && query.eligible().test(upstream.instance());
      if (fits && rooms.hasRoom(upstream, now) && isAllowed(service, upstream, now)) {
        matching.add(upstream);
      }
    }
    return matching;
  }

  @Override
  public @Nullable Placement placeAt(PlacementQuery query, TrackedUpstream upstream, Instant now) {
    RelayService service = query.service();
    boolean accepts =
        !upstream.condition().rejectsNewWork()
            && query.eligible().test(upstream.instance())
            && isAllowed(service, upstream, now);
    return accepts ? callTimes.estimate(service, upstream, now) : null;
  }

  private boolean isAllowed(RelayService service, TrackedUpstream upstream, Instant now) {
    return !upstream.backoff().isActive(now)
        && coldStartLimiter.allows(service, upstream, now)
        && rateLimiter.allows(service, upstream, now);
  }

  @Override
  public void recordSent(RelayService service, Placement placement, Instant now) {
    rateLimiter.recordSent(service, placement.upstream(), now);
  }

  @Override
  public Duration timeUntilAccepted(PlacementQuery query, Instant now) {
    RelayService service = query.service();
    return upstreams.upstreams(service.name()).stream()
        .filter(upstream -> upstream.condition() == UpstreamCondition.READY)
        .filter(upstream -> query.eligible().test(upstream.instance()))
        .map(upstream -> timeUntilAccepted(service, upstream, now))
        .min(Comparator.naturalOrder())
        .orElse(Duration.ZERO);
  }

  private Duration timeUntilAccepted(RelayService service, TrackedUpstream upstream, Instant now) {
    Duration untilAllowed = rateLimiter.timeUntilAllowed(service, upstream, now);
    Duration backoff = upstream.backoff().remaining(now);
    return untilAllowed.compareTo(backoff) > 0 ? untilAllowed : backoff;
  }

  private @Nullable Placement best(
      PlacementEstimator estimator,
      PlacementQuery query,
      List<TrackedUpstream> usableUpstreams,
      Instant now) {
    String zone = query.zone();
    double distanceMillis = distanceMillis(zone, usableUpstreams);
    Placement best = null;
    double leastCost = Double.MAX_VALUE;
    double shortestWait = Double.MAX_VALUE;
    for (TrackedUpstream upstream : usableUpstreams) {
      Placement placement = estimator.estimate(upstream);
      shortestWait = Math.min(shortestWait, placement.waitMillis());
      double cost = placement.firstByteMillis() + estimator.costToOthersMillis(placement);
      cost += FAILURE_MILLIS * upstream.failureShare() + random.nextDouble();
      cost += zone.equals(upstream.instance().zone()) ? 0 : distanceMillis;
      cost -= upstream.rateLimit().isBounded() ? LIMITED_PREFERENCE_MILLIS : 0;
      if (cost < leastCost) {
        leastCost = cost;
        best = placement;
      }
    }
    return best == null ? null : best.withShortestWait(shortestWait);
  }

  private static double distanceMillis(String zone, List<TrackedUpstream> usableUpstreams) {
    long sameZone =
        usableUpstreams.stream()
            .filter(upstream -> zone.equals(upstream.instance().zone()))
            .count();
    return sameZone >= MIN_CACHING_ENGINES ? OTHER_ZONE_CACHED_MILLIS : OTHER_ZONE_MILLIS;
  }

  @Override
  public void recordFirstByte(
      RelayService service,
      @Nullable String model,
      Placement placement,
      double millis,
      Instant now) {
    if (service.engine() != null && model != null) {
      engineTimes.recordFirstByte(service, model, placement, millis, now);
    } else {
      callTimes.recordFirstByte(service, placement, millis, now);
    }
  }
}
