package org.skylarkfork.core.relay;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * A team and the keys that its callers send.
 *
 * @param name name of the team, told to upstreams
 * @param keys keys in force
 * @param priority rank of its requests, in place of the route's; null to keep the route's
 */
public record RelayTeam(String name, List<String> keys, @Nullable Integer priority) {

  /** Copies the list. */
  public RelayTeam {
    keys = List.copyOf(keys);
  }
}
