package org.skylarkfork.core.routing;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.skylarkfork.core.request.CallerRequest;
import org.skylarkfork.core.upstream.Announcement;

/** Picks any upstream with equal chance. */
public final class RandomChooser implements UpstreamChooser {

  private final UniformRandomProvider random;

  /**
   * Makes a chooser.
   *
   * @param seed seed of its random numbers
   */
  public RandomChooser(long seed) {
    random = RandomSource.XO_SHI_RO_256_PP.create(seed);
  }

  @Override
  public Optional<Announcement> choose(
      List<Announcement> candidates, CallerRequest request, Set<String> excluded, Instant now) {
    List<Announcement> remaining =
        candidates.stream().filter(candidate -> !excluded.contains(candidate.id())).toList();
    return remaining.isEmpty()
        ? Optional.empty()
        : Optional.of(remaining.get(random.nextInt(remaining.size())));
  }

  @Override
  public void dispatched(String upstream, CallerRequest request, Instant now) {
    // Nothing is remembered.
  }

  @Override
  public void ended(String upstream, CallerRequest request, boolean healthy, Instant now) {
    // Nothing is remembered.
  }
}
