package org.skylarkfork.core.upstream;

/**
 * A change of an engine's prefix cache; late and with gaps, so a hint and never a fact.
 *
 * @param sequence rises with each event of the engine
 * @param stored true if the prefix was stored, false if it was evicted
 * @param prefix hash of the prompt's prefix in hex
 */
public record CacheEvent(long sequence, boolean stored, String prefix) {}
