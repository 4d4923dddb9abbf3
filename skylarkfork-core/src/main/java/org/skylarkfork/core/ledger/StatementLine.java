package org.skylarkfork.core.ledger;

import org.jspecify.annotations.Nullable;

/**
 * The sum of a team's bills for one version in one month.
 *
 * @param team name of the team
 * @param month year and month of the commit in UTC, such as {@code 2026-12}
 * @param model model or service
 * @param version version, or null for a service
 * @param requests how many requests were billed
 * @param costMicros their sum in millionths of the currency unit
 */
public record StatementLine(
    String team,
    String month,
    String model,
    @Nullable String version,
    long requests,
    long costMicros) {}
