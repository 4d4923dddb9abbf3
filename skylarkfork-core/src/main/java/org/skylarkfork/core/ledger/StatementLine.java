package org.skylarkfork.core.ledger;

import org.jspecify.annotations.Nullable;

/**
 * Sum of a team's bills for one version of a model, or one service, in one calendar month.
 *
 * @param team name of the team
 * @param month year and month in UTC in which the bills were committed, such as {@code 2026-12}
 * @param model name of the model or service
 * @param version version, or null for a service
 * @param requests number of billed requests
 * @param costMicros total cost in millionths of the currency unit
 */
public record StatementLine(
    String team,
    String month,
    String model,
    @Nullable String version,
    long requests,
    long costMicros) {}
