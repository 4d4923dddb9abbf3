package org.skylarkfork.core.entrylist;

import org.skylarkfork.core.overload.EntryCapacity;

/**
 * An entry as its polls describe it.
 *
 * @param node peer name of the entry
 * @param address address at which callers connect to it
 * @param zone its availability zone
 * @param serving whether callers should be directed to it
 * @param busy whether its processor is overloaded
 * @param capacity capacity of its VM
 */
public record ListedEntry(
    String node,
    String address,
    String zone,
    boolean serving,
    boolean busy,
    EntryCapacity capacity) {}
