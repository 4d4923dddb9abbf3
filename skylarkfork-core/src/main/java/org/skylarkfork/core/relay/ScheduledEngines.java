package org.skylarkfork.core.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.skylarkfork.core.overload.RejectionLimits;
import org.skylarkfork.core.upstream.UpstreamRun;

/**
 * The engines as a scheduler sees them: their state comes from the directory, their load from the
 * scheduler's own placements.
 *
 * <p>The load is kept separately from that of the entry's own attempts: a scheduler is an entry as
 * well, and its own requests would count twice.
 */
final class ScheduledEngines implements UpstreamSource {

  private static final EntryOrdinal ONLY_ENTRY = new EntryOrdinal(0, 1);

  private final RelayView view;
  private final Map<UpstreamRun, TrackedUpstream> trackedUpstreams = new HashMap<>();

  ScheduledEngines(RelayView view) {
    this.view = view;
  }

  /** Returns that of a single entry: the scheduler places the requests of all entries. */
  @Override
  public EntryOrdinal entryOrdinal() {
    return ONLY_ENTRY;
  }

  @Override
  public RejectionLimits rejectionLimits() {
    return view.rejectionLimits();
  }

  @Override
  public List<TrackedUpstream> upstreams(String service) {
    List<TrackedUpstream> engines = new ArrayList<>();
    for (TrackedUpstream known : view.upstreams(service)) {
      UpstreamStatus status = new UpstreamStatus(known.instance(), known.condition());
      TrackedUpstream engine =
          trackedUpstreams.computeIfAbsent(
              known.instance().run(), run -> new TrackedUpstream(status));
      engine.updateStatus(status);
      engine.coldUntil(known.coldUntil());
      engine.rate().updateIfNewer(known.rateLimit(), known.rate().reportedAt());
      engine.evacuated(known.condition() == UpstreamCondition.EVACUATED);
      engines.add(engine);
    }
    return engines;
  }

  /**
   * {@inheritDoc}
   *
   * <p>All requests to a scheduler's engines go through it, except while it was silent.
   */
  @Override
  public double loadShare() {
    return 1;
  }

  /** Removes engines that are no longer in the directory. */
  void removeDeparted(Iterable<String> services) {
    Set<UpstreamRun> present = new HashSet<>();
    for (String service : services) {
      view.upstreams(service).forEach(upstream -> present.add(upstream.instance().run()));
    }
    trackedUpstreams.keySet().retainAll(present);
  }
}
