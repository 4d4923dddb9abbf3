package org.skylarkfork.core.relay;

import java.time.Instant;

/**
 * An attempt that reached an upstream and got no whole answer.
 *
 * @param key the request
 * @param sentAt when it was sent, by the clock of the daemon that keeps this
 */
record LostAttempt(RequestKey key, Instant sentAt) {}
