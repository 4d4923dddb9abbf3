package org.skylarkfork.core.request;

import org.jspecify.annotations.Nullable;

/**
 * The metadata that every answer and refusal carries in its headers, as far as it is known.
 *
 * @param requestId id of the request
 * @param model model that answered, or null
 * @param version version of the model that answered, or null
 * @param upstream id of the upstream that answered, or null
 * @param attempts number of dispatched attempts
 * @param costMicros cost so far, in millionths of the currency unit
 * @param sessionToken signed pin of the session, which the caller sends back with its next request,
 *     or null
 * @param notice notice to the caller, such as that its session had to move to another version, or
 *     null
 */
public record AnswerMetadata(
    String requestId,
    @Nullable String model,
    @Nullable String version,
    @Nullable String upstream,
    int attempts,
    long costMicros,
    @Nullable String sessionToken,
    @Nullable String notice) {}
