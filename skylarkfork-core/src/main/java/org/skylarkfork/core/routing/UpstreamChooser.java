package org.skylarkfork.core.routing;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.skylarkfork.core.request.CallerRequest;
import org.skylarkfork.core.upstream.Announcement;

/** Picks the upstream for an attempt and learns from what came of earlier ones. */
public interface UpstreamChooser {

  /**
   * Picks an upstream.
   *
   * @param candidates upstreams that may take the request
   * @param request the request
   * @param excluded ids of upstreams already tried for it
   * @param now the present time
   * @return the pick, or empty if each candidate is excluded, full or out for now
   */
  Optional<Announcement> choose(
      List<Announcement> candidates, CallerRequest request, Set<String> excluded, Instant now);

  /**
   * Takes note that an attempt was dispatched.
   *
   * @param upstream id of the upstream
   * @param request the request
   * @param now the present time
   */
  void dispatched(String upstream, CallerRequest request, Instant now);

  /**
   * Takes note that an attempt ended, in whatever way; called once for each dispatch.
   *
   * @param upstream id of the upstream
   * @param request the request
   * @param healthy false if the upstream was at fault
   * @param now the present time
   */
  void ended(String upstream, CallerRequest request, boolean healthy, Instant now);
}
