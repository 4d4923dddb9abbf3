package org.skylarkfork.core.relay;

import java.time.Instant;

/**
 * A request that waits until its entry is ready to serve it.
 *
 * @param request the request
 * @param arrivedAt when the request arrived
 * @param expiresAt when the wait ends
 */
record PendingRequest(RelayRequest request, Instant arrivedAt, Instant expiresAt) {}
