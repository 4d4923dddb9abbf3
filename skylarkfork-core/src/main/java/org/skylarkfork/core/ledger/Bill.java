package org.skylarkfork.core.ledger;

import org.jspecify.annotations.Nullable;

/**
 * Cost of one request, over all its attempts.
 *
 * @param requestId id of the request
 * @param team name of the team that is billed
 * @param key billing key: the caller's idempotency key, or the request id if the caller sent none
 * @param model model or service that answered
 * @param version version that answered, or null for a service
 * @param costMicros cost in millionths of the currency unit
 * @param lookup whether the request is an idempotent lookup, which must not wait for a quorum
 */
public record Bill(
    String requestId,
    String team,
    String key,
    String model,
    @Nullable String version,
    long costMicros,
    boolean lookup) {}
