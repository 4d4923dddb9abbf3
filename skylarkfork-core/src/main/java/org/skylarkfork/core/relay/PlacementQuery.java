package org.skylarkfork.core.relay;

import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.placement.PromptPrefixes;

/**
 * A query for an upstream that an attempt can be sent to.
 *
 * @param service service that the request goes to
 * @param model model that is to answer, or null if there is none
 * @param prefixes prefixes of the prompt for that model, or null without a model
 * @param objectiveMillis time within which the answer is to begin, in milliseconds
 * @param zone availability zone of the entry that sends the request
 * @param eligible accepts the upstreams that may receive the request
 */
record PlacementQuery(
    RelayService service,
    @Nullable String model,
    @Nullable PromptPrefixes prefixes,
    int objectiveMillis,
    String zone,
    Predicate<UpstreamInstance> eligible) {}
