package org.skylarkfork.core.routing;

import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.skylarkfork.core.request.CallerRequest;
import org.skylarkfork.core.upstream.Announcement;

/** Chooses the upstream with the lowest reported load relative to its capacity. */
public final class LeastReportedLoadChooser implements UpstreamChooser {

  @Override
  public Optional<Announcement> choose(
      List<Announcement> candidates, CallerRequest request, Set<String> excluded, Instant now) {
    return candidates.stream()
        .filter(candidate -> !excluded.contains(candidate.id()))
        .min(Comparator.comparingDouble(LeastReportedLoadChooser::load));
  }

  @Override
  public void dispatched(String upstream, CallerRequest request, Instant now) {
    // The choice depends only on load reports.
  }

  @Override
  public void ended(String upstream, CallerRequest request, boolean healthy, Instant now) {
    // The choice depends only on load reports.
  }

  private static double load(Announcement candidate) {
    double requests = candidate.load().running() + candidate.load().queued();
    return requests / Math.max(1, candidate.capacity());
  }
}
