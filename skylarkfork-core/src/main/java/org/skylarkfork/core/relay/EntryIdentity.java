package org.skylarkfork.core.relay;

/**
 * Identifies an entry to the control VMs.
 *
 * @param callerAddress IP address and port where callers connect
 * @param zone its availability zone
 * @param incarnation number of its process, different for each start
 */
public record EntryIdentity(String callerAddress, String zone, long incarnation) {}
