package org.skylarkfork.core.relay;

import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.placement.PromptPrefixes;

/**
 * Where an attempt goes and what is expected of it.
 *
 * @param upstream the upstream
 * @param waitMillis time until the upstream turns to it, in milliseconds
 * @param workMillis time of the upstream that its reading takes, in milliseconds
 * @param firstByteMillis time until its first byte, the wait included, in milliseconds
 * @param newTokens tokens of its prompt that the upstream has to read
 * @param prefixes its prompt, or null if it has none
 */
record Placement(
    TrackedUpstream upstream,
    double waitMillis,
    double workMillis,
    double firstByteMillis,
    int newTokens,
    @Nullable PromptPrefixes prefixes) {}
