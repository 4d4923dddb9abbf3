package org.skylarkfork.core.waiting;

/**
 * An upstream of a plain service that accepts new work.
 *
 * @param id id of the upstream
 * @param bornMillis when its process started, in milliseconds since 1970; 0 if unknown
 * @param zone its availability zone
 * @param version version of its software
 * @param slots number of calls that it runs at once; 0 if unknown
 * @param ready whether it sends heartbeats; if not, it is used only if no other is available
 */
public record SlotUpstream(
    String id, long bornMillis, String zone, String version, int slots, boolean ready) {}
