package org.skylarkfork.core.relay;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.routing.StableHash;

/**
 * Picks the upstream with the least expected wait.
 *
 * <p>All entries agree, without a word between them, which engine keeps a shared part of prompts:
 * the first in rendezvous order. Elsewhere the part must be read again, which counts as wait.
 */
final class CostPicker implements UpstreamPicker {

  /** Prompt tokens that an engine reads in a millisecond, as the deployments' sheets give it. */
  private static final double TOKENS_PER_MILLI = 80.0;

  /** Time of an engine for each token of an answer among others, in milliseconds. */
  private static final double MILLIS_PER_OUTPUT_TOKEN = 0.25;

  /** Time of a plain service for one call, in milliseconds; only ranks upstreams. */
  private static final double CALL_MILLIS = 40.0;

  /** Milliseconds of wait that the bytes to another zone are worth. */
  private static final double OTHER_ZONE_MILLIS = 12.0;

  /**
   * Engines of a zone from which on each zone keeps its own copies of shared parts; with fewer the
   * copies of one zone don't fit into their memories.
   */
  private static final int LEAST_KEEPERS = 4;

  /** Milliseconds of wait that a certain failure is worth. */
  private static final double FAILURE_MILLIS = 500.0;

  private final RelayView view;
  private final String zone;
  private final UniformRandomProvider random;

  CostPicker(RelayView view, String zone, long seed) {
    this.view = view;
    this.zone = zone;
    this.random = RandomSource.XO_SHI_RO_256_PP.create(seed);
  }

  @Override
  public @Nullable UpstreamTrack pick(
      RelayService service,
      RelayRequest request,
      VersionRule.Allowed allowed,
      Set<String> excluded,
      Instant now) {
    List<UpstreamTrack> ready = candidates(service, allowed, excluded, UpstreamCondition.READY);
    List<UpstreamTrack> usable = ready.stream().filter(track -> !track.avoided(now)).toList();
    if (usable.isEmpty()) {
      usable = ready;
    }
    if (usable.isEmpty()) {
      usable = candidates(service, allowed, excluded, UpstreamCondition.SILENT);
    }
    return best(service, request, usable);
  }

  private List<UpstreamTrack> candidates(
      RelayService service,
      VersionRule.Allowed allowed,
      Set<String> excluded,
      UpstreamCondition condition) {
    List<UpstreamTrack> found = new ArrayList<>();
    for (UpstreamTrack track : view.upstreams(service.name())) {
      boolean fits =
          track.condition() == condition
              && allowed.allows(track.instance().version())
              && !excluded.contains(track.instance().id());
      if (fits) {
        found.add(track);
      }
    }
    return found;
  }

  private @Nullable UpstreamTrack best(
      RelayService service, RelayRequest request, List<UpstreamTrack> usable) {
    PromptPart shared = service.engine() == null ? null : sharedPart(request);
    UpstreamTrack keeper = shared == null ? null : keeper(shared, near(usable));
    UpstreamTrack best = null;
    double least = Double.MAX_VALUE;
    for (UpstreamTrack track : usable) {
      double cost = cost(track) + random.nextDouble();
      if (shared != null && track != keeper) {
        cost += shared.tokens() / TOKENS_PER_MILLI;
      }
      if (cost < least) {
        least = cost;
        best = track;
      }
    }
    return best;
  }

  /**
   * Returns the upstreams of this zone if there are enough of them to keep the shared parts, else
   * all.
   */
  private List<UpstreamTrack> near(List<UpstreamTrack> usable) {
    List<UpstreamTrack> near =
        usable.stream().filter(track -> zone.equals(track.instance().zone())).toList();
    return near.size() >= LEAST_KEEPERS ? near : usable;
  }

  private double cost(UpstreamTrack track) {
    double cost = track.workMillis() * Math.min(4, view.entries());
    cost += FAILURE_MILLIS * track.failureShare();
    return zone.equals(track.instance().zone()) ? cost : cost + OTHER_ZONE_MILLIS;
  }

  private static @Nullable PromptPart sharedPart(RelayRequest request) {
    int parts = request.prompt().size();
    return parts < 2 ? null : request.prompt().get(parts - 2);
  }

  private static @Nullable UpstreamTrack keeper(PromptPart part, List<UpstreamTrack> usable) {
    UpstreamTrack first = null;
    long highest = Long.MIN_VALUE;
    for (UpstreamTrack track : usable) {
      long rank = StableHash.of(part.id() + track.instance().id());
      if (first == null || rank > highest) {
        highest = rank;
        first = track;
      }
    }
    return first;
  }

  @Override
  public double workMillis(RelayService service, RelayRequest request) {
    if (service.engine() == null) {
      return CALL_MILLIS;
    }
    int parts = request.prompt().size();
    int own = parts == 0 ? request.promptTokens() : request.prompt().get(parts - 1).tokens();
    return own / TOKENS_PER_MILLI + request.outputTokens() * MILLIS_PER_OUTPUT_TOKEN;
  }
}
