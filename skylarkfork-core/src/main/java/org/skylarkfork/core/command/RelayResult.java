package org.skylarkfork.core.command;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.relay.Evacuation;
import org.skylarkfork.core.relay.QuarantinedRequest;
import org.skylarkfork.core.relay.ServiceRollOut;

/** What a command of the relay gave. */
public sealed interface RelayResult extends CommandResult {

  /**
   * A configuration was taken, or a newer or equal one is in force.
   *
   * @param version version in force now
   */
  record ConfigurationAccepted(long version) implements RelayResult {}

  /**
   * The newest configuration.
   *
   * @param version its version; 0 if there is none yet
   * @param document the operator's text of it; empty if there is none yet
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
   * @param evacuations each of them, the oldest first
   */
  record EvacuationsRead(List<Evacuation> evacuations) implements RelayResult {

    /** Copies the list. */
    public EvacuationsRead {
      evacuations = List.copyOf(evacuations);
    }
  }

  /**
   * The requests that are refused.
   *
   * @param requests each of them, the oldest first
   */
  record QuarantineRead(List<QuarantinedRequest> requests) implements RelayResult {

    /** Copies the list. */
    public QuarantineRead {
      requests = List.copyOf(requests);
    }
  }
}
