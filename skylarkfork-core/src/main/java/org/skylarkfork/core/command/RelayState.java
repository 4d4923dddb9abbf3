package org.skylarkfork.core.command;

import java.util.List;
import org.skylarkfork.core.relay.Evacuation;
import org.skylarkfork.core.relay.QuarantinedRequest;
import org.skylarkfork.core.relay.RelayConfiguration;
import org.skylarkfork.core.relay.ServiceRollOut;
import org.skylarkfork.core.upstream.UpstreamRun;

/**
 * The state that the relay's control VMs agree on.
 *
 * @param configuration newest configuration
 * @param document the operator's text of it
 * @param rollOuts newest roll-out of each service
 * @param leaving upstreams that leave, oldest first
 * @param evacuations availability zones whose upstreams get nothing, oldest first
 * @param quarantined requests that are refused, oldest first
 */
public record RelayState(
    RelayConfiguration configuration,
    byte[] document,
    List<ServiceRollOut> rollOuts,
    List<UpstreamRun> leaving,
    List<Evacuation> evacuations,
    List<QuarantinedRequest> quarantined)
    implements GroupState {

  /** Copies the lists. */
  public RelayState {
    rollOuts = List.copyOf(rollOuts);
    leaving = List.copyOf(leaving);
    evacuations = List.copyOf(evacuations);
    quarantined = List.copyOf(quarantined);
  }
}
