package org.skylarkfork.core.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.skylarkfork.core.upstream.UpstreamRun;

/**
 * The engines as a scheduler knows them: their state from the directory, their load from what it
 * placed itself.
 *
 * <p>Kept apart from what the entry knows of its own attempts: a scheduler is an entry as well, and
 * its own requests would count twice.
 */
final class ScheduledEngines implements UpstreamSource {

  private final RelayView view;
  private final Map<UpstreamRun, TrackedUpstream> tracks = new HashMap<>();

  ScheduledEngines(RelayView view) {
    this.view = view;
  }

  @Override
  public List<TrackedUpstream> upstreams(String service) {
    List<TrackedUpstream> found = new ArrayList<>();
    for (TrackedUpstream known : view.upstreams(service)) {
      UpstreamStatus status = new UpstreamStatus(known.instance(), known.condition());
      TrackedUpstream own =
          tracks.computeIfAbsent(known.instance().run(), run -> new TrackedUpstream(status));
      own.updateStatus(status);
      own.coldUntil(known.coldUntil());
      own.rate().updateIfNewer(known.rateLimit(), known.rate().reportedAt());
      own.evacuated(known.condition() == UpstreamCondition.EVACUATED);
      found.add(own);
    }
    return found;
  }

  /** All work at a scheduler's engines goes through it, but for moments when it was silent. */
  @Override
  public double loadShare() {
    return 1;
  }

  /** Forgets engines that the directory doesn't name any more. */
  void removeDeparted(Iterable<String> services) {
    Set<UpstreamRun> present = new HashSet<>();
    for (String service : services) {
      view.upstreams(service).forEach(track -> present.add(track.instance().run()));
    }
    tracks.keySet().retainAll(present);
  }
}
