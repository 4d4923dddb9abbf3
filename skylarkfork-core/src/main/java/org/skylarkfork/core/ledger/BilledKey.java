package org.skylarkfork.core.ledger;

import java.time.Instant;

/**
 * A caller's key that was billed.
 *
 * @param team name of the team
 * @param key the caller's key
 * @param billedAt when it was billed, by the ledger's time
 */
public record BilledKey(String team, String key, Instant billedAt) {}
