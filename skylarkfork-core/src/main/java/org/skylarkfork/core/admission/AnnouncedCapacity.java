package org.skylarkfork.core.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntSupplier;
import org.skylarkfork.core.upstream.Announcement;
import org.skylarkfork.core.upstream.UpstreamDirectory;
import org.skylarkfork.core.upstream.UpstreamKind;

/**
 * Capacity from what the known upstreams announce, shared between the live entries.
 *
 * <p>Callers don't spread evenly over the entries, so an entry takes more than its even share: with
 * a headroom of 2 the upstreams' own queues hold at most as much again as runs. The sum over the
 * upstreams is made once in a while and not for each request.
 */
public final class AnnouncedCapacity implements LaneCapacity {

  private static final Duration CACHE_TIME = Duration.ofMillis(500);

  private final UpstreamDirectory directory;
  private final IntSupplier liveEntries;
  private final double headroom;
  private final Map<Lane, CachedCapacity> cached = new HashMap<>();

  private record CachedCapacity(int capacity, Instant until) {}

  /**
   * Makes a capacity.
   *
   * @param directory the known upstreams
   * @param liveEntries how many entries there are, this one included
   * @param headroom by how much an entry exceeds its even share, at least 1
   */
  public AnnouncedCapacity(UpstreamDirectory directory, IntSupplier liveEntries, double headroom) {
    this.directory = directory;
    this.liveEntries = liveEntries;
    this.headroom = headroom;
  }

  @Override
  public int capacity(Lane lane, Instant now) {
    CachedCapacity latest = cached.get(lane);
    if (latest == null || !now.isBefore(latest.until)) {
      latest = new CachedCapacity(sum(lane, now), now.plus(CACHE_TIME));
      cached.put(lane, latest);
    }
    return latest.capacity;
  }

  private int sum(Lane lane, Instant now) {
    List<Announcement> upstreams =
        lane.equals(Lane.DRAFTS)
            ? directory.all().stream().filter(AnnouncedCapacity::acceptsDrafts).toList()
            : directory.services(lane.service(), now);
    long total = upstreams.stream().mapToLong(Announcement::capacity).sum();
    double share = total * headroom / Math.max(1, liveEntries.getAsInt());
    return (int) Math.max(1, Math.min(total, Math.ceil(share)));
  }

  private static boolean acceptsDrafts(Announcement upstream) {
    return upstream.kind() == UpstreamKind.ENGINE && !upstream.leaving();
  }
}
