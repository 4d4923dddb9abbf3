package org.skylarkfork.core.relay;

import java.time.Instant;

/**
 * A request that waits until its entry can serve.
 *
 * @param request the request
 * @param arrivedAt when it came
 * @param until when it waits no longer
 */
record PendingRequest(RelayRequest request, Instant arrivedAt, Instant until) {}
