package org.skylarkfork.core.relay;

import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.placement.PromptPrefixes;

/**
 * The upstream of an attempt and the times that are expected there.
 *
 * @param upstream the upstream
 * @param waitMillis time until the upstream starts to process the attempt, in milliseconds
 * @param workMillis time that the upstream spends on the prefill or the call, in milliseconds
 * @param firstByteMillis time until the first byte, including the wait, in milliseconds
 * @param newTokens prompt tokens that the upstream has to read
 * @param prefixes prefixes of the prompt, or null if there is none
 */
record Placement(
    TrackedUpstream upstream,
    double waitMillis,
    double workMillis,
    double firstByteMillis,
    int newTokens,
    @Nullable PromptPrefixes prefixes) {}
