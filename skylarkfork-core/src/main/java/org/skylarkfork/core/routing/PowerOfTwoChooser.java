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

  private static final int MOST_DRAWS = 12;
  private static final int MOST_SCANNED = 256;
  private static final int MOST_TRACKED = 4_096;
  private static final double NEWEST_WEIGHT = 0.05;

  private final String zone;
  private final ChooserSettings settings;
  private final UniformRandomProvider random;
  private final Map<String, TrackedUpstream> tracks = new LinkedHashMap<>(16, 0.75f, true);
  private final Map<String, Group> groups = new HashMap<>();
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
    Pick pick = new Pick(group(request), excluded, now);
    considerHolder(candidates, request, pick);
    int considered = 0;
    for (int draw = 0; draw < MOST_DRAWS && considered < settings.sampleSize(); draw++) {
      Announcement drawn = candidates.get(random.nextInt(candidates.size()));
      if (drawn != pick.best && accepts(drawn, pick.group) && pick.consider(drawn, 0)) {
        considered++;
      }
    }
    if (pick.best == null) {
      scan(candidates, pick);
    }
    return Optional.ofNullable(pick.best);
  }

  @Override
  public void dispatched(String upstream, CallerRequest request, Instant now) {
    track(upstream).dispatched(request.requestId(), now);
    if (request.kind().isDraft()) {
      hints.routed(request, upstream);
    }
  }

  @Override
  public void ended(String upstream, CallerRequest request, boolean healthy, Instant now) {
    long millis = track(upstream).ended(request.requestId(), healthy, now);
    if (healthy && millis >= 0) {
      group(request).ended(millis);
    }
  }

  private void considerHolder(List<Announcement> candidates, CallerRequest request, Pick pick) {
    if (!request.kind().isDraft()) {
      return;
    }
    Optional<String> holder = hints.holder(request, candidates.get(0));
    Announcement found = holder.map(id -> find(candidates, id)).orElse(null);
    if (found != null && pick.load(found) < settings.maxPrefixLoad()) {
      pick.consider(found, settings.prefixBonus());
    }
  }

  /** Draws upstreams in proportion to their capacity, without a look at all of them. */
  private boolean accepts(Announcement drawn, Group group) {
    group.largestCapacity = Math.max(group.largestCapacity, drawn.capacity());
    return random.nextInt(group.largestCapacity) < Math.max(1, drawn.capacity());
  }

  /** Looks at upstreams in turn where most are excluded, out or full. */
  private void scan(List<Announcement> candidates, Pick pick) {
    int start = random.nextInt(candidates.size());
    int count = Math.min(MOST_SCANNED, candidates.size());
    for (int i = 0; i < count; i++) {
      pick.consider(candidates.get((start + i) % candidates.size()), 0);
    }
    if (pick.best == null) {
      for (int i = 0; i < count; i++) {
        pick.considerOut(candidates.get((start + i) % candidates.size()));
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

  private TrackedUpstream track(String upstream) {
    TrackedUpstream track = tracks.get(upstream);
    if (track == null) {
      track = new TrackedUpstream(settings);
      tracks.put(upstream, track);
      forgetOldest();
    }
    return track;
  }

  private void forgetOldest() {
    if (tracks.size() > MOST_TRACKED) {
      Map.Entry<String, TrackedUpstream> oldest = tracks.entrySet().iterator().next();
      if (oldest.getValue().isIdle()) {
        tracks.remove(oldest.getKey());
      }
    }
  }

  private Group group(CallerRequest request) {
    return groups.computeIfAbsent(request.service(), unused -> new Group());
  }

  /** What is usual among the upstreams of one service, or of drafts. */
  private static final class Group {
    private double usualMillis;
    private double usualOthersPerCapacity;
    private int largestCapacity = 1;

    void ended(long millis) {
      usualMillis =
          usualMillis <= 0 ? millis : usualMillis + NEWEST_WEIGHT * (millis - usualMillis);
    }

    void reported(double othersPerCapacity) {
      usualOthersPerCapacity += NEWEST_WEIGHT * (othersPerCapacity - usualOthersPerCapacity);
    }
  }

  /** The best upstream so far for one request. */
  private final class Pick {
    private final Group group;
    private final Set<String> excluded;
    private final Instant now;
    private @Nullable Announcement best;
    private double bestDelay;

    Pick(Group group, Set<String> excluded, Instant now) {
      this.group = group;
      this.excluded = excluded;
      this.now = now;
    }

    /** Compares an upstream and returns whether it could take the request. */
    boolean consider(Announcement candidate, double bonus) {
      if (excluded.contains(candidate.id()) || !track(candidate.id()).isUsable(now)) {
        return false;
      }
      double load = load(candidate);
      if (load >= settings.saturationLoad()) {
        return false;
      }
      double delay = load + 1.0 / capacity(candidate);
      delay *= track(candidate.id()).slowness(group.usualMillis, now);
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
    void considerOut(Announcement candidate) {
      if (excluded.contains(candidate.id()) || load(candidate) >= settings.saturationLoad()) {
        return;
      }
      double from = track(candidate.id()).usableFrom().getEpochSecond();
      if (best == null || from < bestDelay) {
        best = candidate;
        bestDelay = from;
      }
    }

    /** Returns the estimated load of an upstream as a share of its capacity. */
    double load(Announcement candidate) {
      TrackedUpstream track = track(candidate.id());
      int capacity = capacity(candidate);
      if (track.reported(candidate.load(), now)) {
        group.reported(track.othersReported() / capacity);
        hints.learn(candidate);
      }
      return track.load(group.usualOthersPerCapacity * capacity, now) / capacity;
    }

    private int capacity(Announcement candidate) {
      return Math.max(1, candidate.capacity());
    }
  }
}
