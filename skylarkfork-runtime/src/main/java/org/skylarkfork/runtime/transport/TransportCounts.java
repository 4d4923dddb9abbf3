package org.skylarkfork.runtime.transport;

/**
 * What the transport has done since its start.
 *
 * @param sent messages written to a connection
 * @param received messages given to the reducer
 * @param dropped messages dropped because a queue was full, a peer was unknown or a connection
 *     ended with messages still waiting
 * @param malformed connections dropped for bytes that are no frames of this protocol
 * @param refused greetings refused and TLS handshakes failed, on either side
 * @param lost greeted connections lost
 * @param unknownMessages messages of a type that this version doesn't know, skipped
 */
public record TransportCounts(
    long sent,
    long received,
    long dropped,
    long malformed,
    long refused,
    long lost,
    long unknownMessages) {}
