package org.skylarkfork.core.routing;

import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.configuration.ModelVersion;
import org.skylarkfork.core.configuration.Rule;
import org.skylarkfork.core.configuration.Team;
import org.skylarkfork.core.request.CallerRequest;

/**
 * What a plan is made from.
 *
 * @param request the draft
 * @param team the team that sent it
 * @param route the matching rule's decision
 * @param pinned version that the session keeps, or null if there is no session or no pin yet
 */
public record PlanQuery(
    CallerRequest request, Team team, Rule.Decision.Route route, @Nullable ModelVersion pinned) {}
