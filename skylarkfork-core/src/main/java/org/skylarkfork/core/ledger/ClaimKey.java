package org.skylarkfork.core.ledger;

/**
 * Identifies a claim or a bill.
 *
 * @param team name of the team
 * @param key key, unique within the team
 */
public record ClaimKey(String team, String key) {}
