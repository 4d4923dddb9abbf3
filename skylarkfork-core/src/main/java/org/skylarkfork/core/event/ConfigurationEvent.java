package org.skylarkfork.core.event;

import org.skylarkfork.core.configuration.ConfigurationChange;

/** What the configuration tells other parts, and they it; raised within the reducer. */
public sealed interface ConfigurationEvent extends Event {

  /**
   * A newer configuration is applied on this daemon.
   *
   * @param from revision before
   * @param to revision now
   */
  record ConfigurationApplied(long from, long to) implements ConfigurationEvent {}

  /**
   * This daemon got or lost the right to take new work.
   *
   * @param serving whether it holds a valid configuration lease now
   */
  record ServingChanged(boolean serving) implements ConfigurationEvent {}

  /**
   * A part wants a change, as the operators' policy allows it to.
   *
   * @param changeId id of the change, the same on each daemon that may ask for it
   * @param proposer name of the part, as it is to stand in the history
   * @param change the change
   */
  record ChangeProposed(String changeId, String proposer, ConfigurationChange change)
      implements ConfigurationEvent {}
}
