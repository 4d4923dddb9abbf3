package org.skylarkfork.core.relay;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * A team and the keys that its callers send.
 *
 * @param name name of the team, sent to upstreams
 * @param keys valid keys
 * @param priority priority of the team's requests, which overrides the route's; null to use the
 *     route's
 */
public record RelayTeam(String name, List<String> keys, @Nullable Integer priority) {

  /** Copies the list. */
  public RelayTeam {
    keys = List.copyOf(keys);
  }
}
