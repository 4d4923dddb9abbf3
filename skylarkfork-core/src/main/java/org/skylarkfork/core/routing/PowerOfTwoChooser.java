package org.skylarkfork.core.routing;

import java.time.Instant;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.request.CallerRequest;
import org.skylarkfork.core.upstream.Announcement;

/**
 * Picks the better of a few upstreams drawn at random, by expected delay.
 *
 * <p>Load reports are late, so the least reported load would draw all entries to one upstream until
 * its next report. This entry's own requests since the report are added, and drawing at random
 * keeps the entries apart. The cost of a pick doesn't grow with the number of upstreams.
 */
public final class PowerOfTwoChooser implements UpstreamChooser {

  private static final int MAX_DRAWS = 12;
  private static final int MAX_SCANNED = 256;
  private static final int MAX_TRACKED = 4_096;
  private static final double SMOOTHING_FACTOR = 0.05;

  private final String zone;
  private final ChooserSettings settings;
  private final UniformRandomProvider random;
  private final Map<String, TrackedUpstream> trackedUpstreams =
      new LinkedHashMap<>(16, 0.75f, true);
  private final Map<String, ServiceStatistics> statisticsByService = new HashMap<>();
  private final PrefixHints hints = new PrefixHints();

  /**
   * Makes a chooser.
   *
   * @param zone availability zone of this entry
   * @param settings how upstreams are weighed
   * @param seed seed of the draws
   */
  public PowerOfTwoChooser(String zone, ChooserSettings settings, long seed) {
    this.zone = zone;
    this.settings = settings;
    this.random = RandomSource.XO_SHI_RO_256_PP.create(seed);
  }

  @Override
  public Optional<Announcement> choose(
      List<Announcement> candidates, CallerRequest request, Set<String> excluded, Instant now) {
    if (candidates.isEmpty()) {
      return Optional.empty();
    }
    Selection selection = new Selection(statistics(request), excluded, now);
    considerPrefixHolder(candidates, request, selection);
    int considered = 0;
    for (int draw = 0; draw < MAX_DRAWS && considered < settings.sampleSize(); draw++) {
      Announcement drawn = candidates.get(random.nextInt(candidates.size()));
      if (drawn != selection.best
          && acceptsByCapacity(drawn, selection.statistics)
          && selection.consider(drawn, 0)) {
        considered++;
      }
    }
    if (selection.best == null) {
      scan(candidates, selection);
    }
    return Optional.ofNullable(selection.best);
  }

  @Override
  public void dispatched(String upstream, CallerRequest request, Instant now) {
    tracked(upstream).recordDispatch(request.requestId(), now);
    if (request.kind().isDraft()) {
      hints.recordDispatch(request, upstream);
    }
  }

  @Override
  public void ended(String upstream, CallerRequest request, boolean healthy, Instant now) {
    long millis = tracked(upstream).recordEnd(request.requestId(), healthy, now);
    if (healthy && millis >= 0) {
      statistics(request).recordLatency(millis);
    }
  }

  private void considerPrefixHolder(
      List<Announcement> candidates, CallerRequest request, Selection selection) {
    if (!request.kind().isDraft()) {
      return;
    }
    Optional<String> holder = hints.holder(request, candidates.get(0));
    Announcement found = holder.map(id -> find(candidates, id)).orElse(null);
    if (found != null && selection.load(found) < settings.maxPrefixLoad()) {
      selection.consider(found, settings.prefixBonus());
    }
  }

  /** Draws upstreams in proportion to their capacity, without a look at all of them. */
  private boolean acceptsByCapacity(Announcement drawn, ServiceStatistics statistics) {
    statistics.largestCapacity = Math.max(statistics.largestCapacity, drawn.capacity());
    return random.nextInt(statistics.largestCapacity) < Math.max(1, drawn.capacity());
  }

  /** Looks at upstreams in turn where most are excluded, out or full. */
  private void scan(List<Announcement> candidates, Selection selection) {
    int start = random.nextInt(candidates.size());
    int count = Math.min(MAX_SCANNED, candidates.size());
    for (int i = 0; i < count; i++) {
      selection.consider(candidates.get((start + i) % candidates.size()), 0);
    }
    if (selection.best == null) {
      for (int i = 0; i < count; i++) {
        selection.considerEjected(candidates.get((start + i) % candidates.size()));
      }
    }
  }

  /** Finds a candidate in a list that is in the order of ids. */
  private static @Nullable Announcement find(List<Announcement> candidates, String id) {
    int low = 0;
    int high = candidates.size() - 1;
    while (low <= high) {
      int middle = (low + high) >>> 1;
      int order = candidates.get(middle).id().compareTo(id);
      if (order == 0) {
        return candidates.get(middle);
      }
      low = order < 0 ? middle + 1 : low;
      high = order < 0 ? high : middle - 1;
    }
    return null;
  }

  private TrackedUpstream tracked(String upstream) {
    TrackedUpstream tracked = trackedUpstreams.get(upstream);
    if (tracked == null) {
      tracked = new TrackedUpstream(settings);
      trackedUpstreams.put(upstream, tracked);
      evictOldest();
    }
    return tracked;
  }

  private void evictOldest() {
    if (trackedUpstreams.size() > MAX_TRACKED) {
      Map.Entry<String, TrackedUpstream> oldest = trackedUpstreams.entrySet().iterator().next();
      if (oldest.getValue().isIdle()) {
        trackedUpstreams.remove(oldest.getKey());
      }
    }
  }

  private ServiceStatistics statistics(CallerRequest request) {
    return statisticsByService.computeIfAbsent(
        request.service(), unused -> new ServiceStatistics());
  }

  /** What is usual among the upstreams of one service, or of drafts. */
  private static final class ServiceStatistics {
    private double meanMillis;
    private double meanExternalLoad;
    private int largestCapacity = 1;

    void recordLatency(long millis) {
      meanMillis = meanMillis <= 0 ? millis : meanMillis + SMOOTHING_FACTOR * (millis - meanMillis);
    }

    void recordExternalLoad(double externalLoad) {
      meanExternalLoad += SMOOTHING_FACTOR * (externalLoad - meanExternalLoad);
    }
  }

  /** The best upstream so far for one request. */
  private final class Selection {
    private final ServiceStatistics statistics;
    private final Set<String> excluded;
    private final Instant now;
    private @Nullable Announcement best;
    private double bestDelay;

    Selection(ServiceStatistics statistics, Set<String> excluded, Instant now) {
      this.statistics = statistics;
      this.excluded = excluded;
      this.now = now;
    }

    /** Compares an upstream and returns whether it could take the request. */
    boolean consider(Announcement candidate, double bonus) {
      if (excluded.contains(candidate.id()) || !tracked(candidate.id()).isUsable(now)) {
        return false;
      }
      double load = load(candidate);
      if (load >= settings.saturationLoad()) {
        return false;
      }
      double delay = load + 1.0 / capacity(candidate);
      delay *= tracked(candidate.id()).latencyRatio(statistics.meanMillis, now);
      delay *= candidate.zone().equals(zone) ? 1 : settings.crossZoneFactor();
      delay -= bonus;
      if (best == null || delay < bestDelay) {
        best = candidate;
        bestDelay = delay;
      }
      return true;
    }

    /**
     * Takes an upstream that is out, the one whose time is up first; where all are out, the cause
     * is often elsewhere, and to refuse everything would make a short fault a long one.
     */
    void considerEjected(Announcement candidate) {
      if (excluded.contains(candidate.id()) || load(candidate) >= settings.saturationLoad()) {
        return;
      }
      double from = tracked(candidate.id()).usableFrom().getEpochSecond();
      if (best == null || from < bestDelay) {
        best = candidate;
        bestDelay = from;
      }
    }

    /** Returns the estimated load of an upstream as a share of its capacity. */
    double load(Announcement candidate) {
      TrackedUpstream tracked = tracked(candidate.id());
      int capacity = capacity(candidate);
      if (tracked.recordReport(candidate.load(), now)) {
        statistics.recordExternalLoad(tracked.reportedExternalRequests() / capacity);
        hints.recordCacheEvents(candidate);
      }
      return tracked.load(statistics.meanExternalLoad * capacity, now) / capacity;
    }

    private int capacity(Announcement candidate) {
      return Math.max(1, candidate.capacity());
    }
  }
}
