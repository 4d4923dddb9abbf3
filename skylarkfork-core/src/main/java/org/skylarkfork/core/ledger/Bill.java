package org.skylarkfork.core.ledger;

import org.jspecify.annotations.Nullable;

/**
 * What one request cost, over all its attempts.
 *
 * @param requestId id of the request
 * @param team team that pays
 * @param key billing key: the caller's idempotency key, or else the request id
 * @param model model or service that answered
 * @param version version that answered, or null for a service
 * @param costMicros cost in millionths of the currency unit
 * @param lookup whether it is an idempotent lookup, which must not wait on a quorum
 */
public record Bill(
    String requestId,
    String team,
    String key,
    String model,
    @Nullable String version,
    long costMicros,
    boolean lookup) {}
