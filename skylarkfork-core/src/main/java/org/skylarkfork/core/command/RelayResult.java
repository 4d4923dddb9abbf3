package org.skylarkfork.core.command;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.relay.Evacuation;
import org.skylarkfork.core.relay.QuarantinedRequest;
import org.skylarkfork.core.rollout.ServiceRollOut;

/** Results of relay commands. */
public sealed interface RelayResult extends CommandResult {

  /**
   * A configuration was accepted, or a newer or equal one is already in force.
   *
   * @param version version that is now in force
   */
  record ConfigurationAccepted(long version) implements RelayResult {}

  /**
   * The newest configuration.
   *
   * @param version version of the configuration; 0 if there is none yet
   * @param document the operator's text of the configuration; empty if there is none yet
   */
  record ConfigurationRead(long version, byte[] document) implements RelayResult {}

  /**
   * A roll-out.
   *
   * @param rollOut the newest roll-out of the service, or null if there was none
   */
  record RollOutRead(@Nullable ServiceRollOut rollOut) implements RelayResult {}

  /**
   * The availability zones that are evacuated.
   *
   * @param evacuations all evacuations, oldest first
   */
  record EvacuationsRead(List<Evacuation> evacuations) implements RelayResult {

    /** Copies the list. */
    public EvacuationsRead {
      evacuations = List.copyOf(evacuations);
    }
  }

  /**
   * The quarantined requests.
   *
   * @param requests all quarantined requests, oldest first
   */
  record QuarantineRead(List<QuarantinedRequest> requests) implements RelayResult {

    /** Copies the list. */
    public QuarantineRead {
      requests = List.copyOf(requests);
    }
  }
}
