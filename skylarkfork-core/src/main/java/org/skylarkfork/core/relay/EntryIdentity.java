package org.skylarkfork.core.relay;

import org.skylarkfork.core.overload.EntryCapacity;

/**
 * Identifies an entry to the control VMs.
 *
 * @param callerAddress IP address and port where callers connect
 * @param zone its availability zone
 * @param incarnation number of its process, different for each start
 * @param capacity capacity of its VM
 */
public record EntryIdentity(
    String callerAddress, String zone, long incarnation, EntryCapacity capacity) {

  /** Creates the identity of an entry with an unknown capacity. */
  public EntryIdentity(String callerAddress, String zone, long incarnation) {
    this(callerAddress, zone, incarnation, EntryCapacity.UNKNOWN);
  }
}
