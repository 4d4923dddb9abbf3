package org.skylarkfork.core.command;

import java.util.List;
import org.skylarkfork.core.configuration.Configuration;
import org.skylarkfork.core.configuration.RememberedChange;
import org.skylarkfork.core.configuration.RevisionEntry;

/**
 * The state of the configuration group.
 *
 * @param configuration the newest configuration
 * @param accepted answers to accepted change ids, oldest first; without them a resend after a
 *     restart would be applied a second time
 * @param refused answers to refused change ids, oldest first
 * @param history the most recent revisions, oldest first
 */
public record ConfigurationState(
    Configuration configuration,
    List<RememberedChange> accepted,
    List<RememberedChange> refused,
    List<RevisionEntry> history)
    implements GroupState {

  /** Copies the lists. */
  public ConfigurationState {
    accepted = List.copyOf(accepted);
    refused = List.copyOf(refused);
    history = List.copyOf(history);
  }
}
