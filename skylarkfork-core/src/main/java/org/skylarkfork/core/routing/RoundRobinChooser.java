package org.skylarkfork.core.routing;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.skylarkfork.core.request.CallerRequest;
import org.skylarkfork.core.upstream.Announcement;

/** Picks the upstreams in turn. */
public final class RoundRobinChooser implements UpstreamChooser {

  private int nextIndex;

  @Override
  public Optional<Announcement> choose(
      List<Announcement> candidates, CallerRequest request, Set<String> excluded, Instant now) {
    for (int tried = 0; tried < candidates.size(); tried++) {
      Announcement candidate = candidates.get(Math.floorMod(nextIndex, candidates.size()));
      nextIndex++;
      if (!excluded.contains(candidate.id())) {
        return Optional.of(candidate);
      }
    }
    return Optional.empty();
  }

  @Override
  public void dispatched(String upstream, CallerRequest request, Instant now) {
    // Only the turn counts.
  }

  @Override
  public void ended(String upstream, CallerRequest request, boolean healthy, Instant now) {
    // Only the turn counts.
  }
}
