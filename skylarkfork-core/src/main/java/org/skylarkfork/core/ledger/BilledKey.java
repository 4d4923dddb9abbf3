package org.skylarkfork.core.ledger;

import java.time.Instant;

/**
 * Idempotency key of a caller for which a request was billed.
 *
 * @param team name of the team
 * @param key the caller's idempotency key
 * @param billedAt ledger time at which the request was billed
 */
public record BilledKey(String team, String key, Instant billedAt) {}
