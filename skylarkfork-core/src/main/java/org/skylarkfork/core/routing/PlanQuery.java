package org.skylarkfork.core.routing;

import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.configuration.ModelVersion;
import org.skylarkfork.core.configuration.Rule;
import org.skylarkfork.core.configuration.Team;
import org.skylarkfork.core.request.CallerRequest;

/**
 * The inputs of a plan.
 *
 * @param request the draft
 * @param team the team that sent the draft
 * @param route decision of the matching rule
 * @param pinned version that the session is pinned to, or null if there is no session or no pin
 */
public record PlanQuery(
    CallerRequest request, Team team, Rule.Decision.Route route, @Nullable ModelVersion pinned) {}
