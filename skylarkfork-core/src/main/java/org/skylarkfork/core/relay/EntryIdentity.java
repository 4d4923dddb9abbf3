package org.skylarkfork.core.relay;

/**
 * An entry as the control VMs see it.
 *
 * @param callerAddress IP number and port where callers connect
 * @param zone its availability zone
 * @param incarnation number of its process, new at each start
 */
public record EntryIdentity(String callerAddress, String zone, long incarnation) {}
