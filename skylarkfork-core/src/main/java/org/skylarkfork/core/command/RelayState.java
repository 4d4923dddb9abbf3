package org.skylarkfork.core.command;

import java.util.List;
import org.skylarkfork.core.relay.Evacuation;
import org.skylarkfork.core.relay.QuarantinedRequest;
import org.skylarkfork.core.relay.RelayConfiguration;
import org.skylarkfork.core.rollout.ServiceRollOut;
import org.skylarkfork.core.upstream.UpstreamRun;

/**
 * The state replicated by the relay's control VMs.
 *
 * @param configuration newest configuration
 * @param document the operator's text of the configuration
 * @param rollOuts newest roll-out of each service
 * @param leaving upstreams that leave, oldest first
 * @param evacuations availability zones whose upstreams receive no requests, oldest first
 * @param quarantined requests that all entries refuse, oldest first
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
