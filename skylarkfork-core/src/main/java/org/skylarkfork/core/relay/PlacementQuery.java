package org.skylarkfork.core.relay;

import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.placement.PromptPrefixes;

/**
 * A request for an upstream.
 *
 * @param service service that the request goes to
 * @param model model that is to answer, or null if there is none
 * @param prefixes the prompt as that model reads it, or null without a model
 * @param objectiveMillis time in which its answer is to begin, in milliseconds
 * @param zone availability zone of the entry that sends it
 * @param eligible tells the upstreams that may get it
 */
record PlacementQuery(
    RelayService service,
    @Nullable String model,
    @Nullable PromptPrefixes prefixes,
    int objectiveMillis,
    String zone,
    Predicate<UpstreamInstance> eligible) {}
