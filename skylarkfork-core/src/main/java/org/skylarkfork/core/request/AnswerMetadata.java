package org.skylarkfork.core.request;

import org.jspecify.annotations.Nullable;

/**
 * What every answer and refusal says in its headers, as far as it is known.
 *
 * @param requestId id of the request
 * @param model model that answered, or null
 * @param version its version, or null
 * @param upstream id of the upstream that answered, or null
 * @param attempts how many attempts were dispatched
 * @param costMicros cost so far in millionths of the currency unit
 * @param sessionToken signed pin for the caller to send back, or null
 * @param notice something the caller should know, such as a session that had to move, or null
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
