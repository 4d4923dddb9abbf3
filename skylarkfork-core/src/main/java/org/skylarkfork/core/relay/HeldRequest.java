package org.skylarkfork.core.relay;

import java.time.Instant;

/**
 * A request that waits until the entry can serve.
 *
 * @param request the request
 * @param arrivedAt when it came
 */
record HeldRequest(RelayRequest request, Instant arrivedAt) {}
