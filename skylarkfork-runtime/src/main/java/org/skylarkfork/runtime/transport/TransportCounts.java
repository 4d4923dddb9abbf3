package org.skylarkfork.runtime.transport;

/**
 * Counts of the transport since its start.
 *
 * @param sent messages written to a connection
 * @param received messages passed to the reducer
 * @param dropped messages dropped because a queue was full, a peer was unknown, a message was too
 *     long, or a connection ended with queued messages
 * @param malformed connections closed because of bytes that aren't valid frames of this protocol
 * @param refused refused greetings and failed TLS handshakes, on either side, and incoming
 *     connections above the limit
 * @param lost lost connections that had completed the handshake
 * @param unknownMessages skipped messages of a type that this version doesn't know
 */
public record TransportCounts(
    long sent,
    long received,
    long dropped,
    long malformed,
    long refused,
    long lost,
    long unknownMessages) {}
