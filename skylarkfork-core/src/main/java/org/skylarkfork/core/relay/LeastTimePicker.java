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
 * Picks the upstream with the least expected time, failures and distance weighed in.
 *
 * <p>An upstream that failed lately is taken only if no other is there, one that is silent only
 * after those. A cold one is taken as far as {@link ColdStartLimiter} allows, one that names a rate
 * limit as far as {@link RateLimiter} does.
 */
final class LeastTimePicker implements UpstreamPicker {

  /**
   * Milliseconds of wait that the bytes to another zone are worth. A prompt's transfer costs about
   * a hundredth of the credit of its answer, as much as some milliseconds of a busy engine earn.
   */
  private static final double OTHER_ZONE_MILLIS = 12.0;

  /** The same where a zone has engines enough to keep the shared parts of prompts by itself. */
  private static final double OTHER_KEEPERS_MILLIS = 60.0;

  /** Engines of a zone from which on their memories hold the shared parts of its requests. */
  private static final int LEAST_KEEPERS = 4;

  /** Milliseconds of wait that a certain failure is worth. */
  private static final double FAILURE_MILLIS = 500.0;

  /**
   * Milliseconds by which an upstream that names a rate limit goes first while it takes a request.
   * What it takes and doesn't get is lost, while the others have to take all the rest; more than a
   * tie is not meant.
   */
  private static final double LIMITED_MILLIS = 2.0;

  private final UpstreamSource upstreams;
  private final ColdStartLimiter coldStarts;
  private final RateLimiter rates;
  private final UniformRandomProvider random;
  private final EngineLatencyModel engines;
  private final CallLatencyModel calls;

  LeastTimePicker(
      UpstreamSource upstreams, ColdStartLimiter coldStarts, RateLimiter rates, long seed) {
    this.upstreams = upstreams;
    this.coldStarts = coldStarts;
    this.rates = rates;
    this.random = RandomSource.XO_SHI_RO_256_PP.create(seed);
    this.engines = new EngineLatencyModel(upstreams);
    this.calls = new CallLatencyModel();
  }

  @Override
  public @Nullable Placement pick(PlacementQuery query, Instant now) {
    RelayService service = query.service();
    List<TrackedUpstream> usable = usable(query, now);
    EngineProfile engine = service.engine();
    if (engine != null && query.prefixes() != null) {
      return best(
          engines.estimatorFor(query, engine, query.prefixes(), usable, now), query, usable, now);
    }
    return best(track -> calls.estimate(service, track, now), query, usable, now);
  }

  private List<TrackedUpstream> usable(PlacementQuery query, Instant now) {
    List<TrackedUpstream> ready = candidates(query, UpstreamCondition.READY, now);
    List<TrackedUpstream> sound = ready.stream().filter(track -> !track.isAvoided(now)).toList();
    if (!sound.isEmpty()) {
      return uncrowded(query.service(), sound, now);
    }
    return ready.isEmpty() ? candidates(query, UpstreamCondition.SILENT, now) : ready;
  }

  private List<TrackedUpstream> uncrowded(
      RelayService service, List<TrackedUpstream> sound, Instant now) {
    List<TrackedUpstream> others =
        sound.stream().filter(track -> !coldStarts.exceedsColdRate(service, track, now)).toList();
    return others.isEmpty() ? sound : others;
  }

  private List<TrackedUpstream> candidates(
      PlacementQuery query, UpstreamCondition condition, Instant now) {
    RelayService service = query.service();
    List<TrackedUpstream> found = new ArrayList<>();
    for (TrackedUpstream track : upstreams.upstreams(service.name())) {
      boolean fits = track.condition() == condition && query.eligible().test(track.instance());
      if (fits && takes(service, track, now)) {
        found.add(track);
      }
    }
    return found;
  }

  private boolean takes(RelayService service, TrackedUpstream track, Instant now) {
    return coldStarts.allows(service, track, now) && rates.allows(service, track, now);
  }

  @Override
  public void recordSent(RelayService service, Placement placement, Instant now) {
    rates.recordSent(service, placement.upstream(), now);
  }

  @Override
  public Duration timeUntilAccepted(PlacementQuery query, Instant now) {
    RelayService service = query.service();
    return upstreams.upstreams(service.name()).stream()
        .filter(track -> track.condition() == UpstreamCondition.READY)
        .filter(track -> query.eligible().test(track.instance()))
        .map(track -> rates.timeUntilAllowed(service, track, now))
        .min(Comparator.naturalOrder())
        .orElse(Duration.ZERO);
  }

  private @Nullable Placement best(
      PlacementEstimator estimate,
      PlacementQuery query,
      List<TrackedUpstream> usable,
      Instant now) {
    String zone = query.zone();
    double distance = distance(zone, usable);
    Placement best = null;
    double least = Double.MAX_VALUE;
    for (TrackedUpstream track : usable) {
      Placement placement = estimate.estimate(track);
      double cost = placement.firstByteMillis() + estimate.costToOthersMillis(placement);
      cost += FAILURE_MILLIS * track.failureShare() + random.nextDouble();
      cost += zone.equals(track.instance().zone()) ? 0 : distance;
      cost -= track.rateLimit().isBounded() ? LIMITED_MILLIS : 0;
      if (cost < least) {
        least = cost;
        best = placement;
      }
    }
    return best;
  }

  private static double distance(String zone, List<TrackedUpstream> usable) {
    long near = usable.stream().filter(track -> zone.equals(track.instance().zone())).count();
    return near >= LEAST_KEEPERS ? OTHER_KEEPERS_MILLIS : OTHER_ZONE_MILLIS;
  }

  @Override
  public void recordFirstByte(
      RelayService service,
      @Nullable String model,
      Placement placement,
      double millis,
      Instant now) {
    if (service.engine() != null && model != null) {
      engines.recordFirstByte(service, model, placement, millis, now);
    } else {
      calls.recordFirstByte(service, placement, millis, now);
    }
  }
}
