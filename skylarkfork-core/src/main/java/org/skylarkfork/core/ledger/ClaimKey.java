package org.skylarkfork.core.ledger;

/**
 * What a claim or bill is known by.
 *
 * @param team name of the team
 * @param key key within the team
 */
public record ClaimKey(String team, String key) {}
