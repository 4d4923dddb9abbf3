package org.skylarkfork.core.rollout;

/**
 * Time for which an entry's process has known a running roll-out.
 *
 * @param service the service
 * @param startIndex log index of the command that started the roll-out
 * @param millis time since the process learned of the start, in milliseconds
 * @param movedMillis time since the process learned of the move and began to send all requests to
 *     the new version, in milliseconds; 0 before
 */
public record RollOutAge(String service, long startIndex, long millis, long movedMillis) {}
