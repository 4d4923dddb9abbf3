package org.skylarkfork.core.routing;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.skylarkfork.core.request.CallerRequest;
import org.skylarkfork.core.upstream.Announcement;

/** Chooses the upstream of an attempt, based on the results of earlier attempts. */
public interface UpstreamChooser {

  /**
   * Chooses an upstream.
   *
   * @param candidates upstreams that may run the request
   * @param request the request
   * @param excluded ids of upstreams that were already tried for the request
   * @param now the current time
   * @return the chosen upstream, or empty if each candidate is excluded, full or ejected
   */
  Optional<Announcement> choose(
      List<Announcement> candidates, CallerRequest request, Set<String> excluded, Instant now);

  /**
   * Records that an attempt was dispatched.
   *
   * @param upstream id of the upstream
   * @param request the request
   * @param now the current time
   */
  void dispatched(String upstream, CallerRequest request, Instant now);

  /**
   * Records that an attempt ended, with any result; called once for each dispatch.
   *
   * @param upstream id of the upstream
   * @param request the request
   * @param healthy false if the upstream caused a failure
   * @param now the current time
   */
  void ended(String upstream, CallerRequest request, boolean healthy, Instant now);
}
