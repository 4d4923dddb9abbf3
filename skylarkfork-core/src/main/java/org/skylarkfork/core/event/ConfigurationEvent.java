package org.skylarkfork.core.event;

import org.skylarkfork.core.configuration.ConfigurationChange;

/** Events between the configuration and the other parts; raised within the reducer. */
public sealed interface ConfigurationEvent extends Event {

  /**
   * A newer configuration was applied on this daemon.
   *
   * @param from revision before the change
   * @param to revision after the change
   */
  record ConfigurationApplied(long from, long to) implements ConfigurationEvent {}

  /**
   * This daemon gained or lost the right to accept new work.
   *
   * @param serving whether it holds a valid configuration lease now
   */
  record ServingChanged(boolean serving) implements ConfigurationEvent {}

  /**
   * A part proposes a change that the operators' policy permits it to make.
   *
   * @param changeId id of the change, identical on all daemons that may propose it
   * @param proposer name of the part, as recorded in the history
   * @param change the change
   */
  record ChangeProposed(String changeId, String proposer, ConfigurationChange change)
      implements ConfigurationEvent {}
}
