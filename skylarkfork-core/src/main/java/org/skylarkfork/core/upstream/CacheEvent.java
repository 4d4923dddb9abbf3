package org.skylarkfork.core.upstream;

/**
 * A change of an engine's prefix cache. Events are late and may be missing, so they are only a hint
 * of what the cache holds.
 *
 * @param sequence sequence number, rising with each event of the engine
 * @param stored true if the prefix was stored, false if it was evicted
 * @param prefix hash of the prompt's prefix in hex
 */
public record CacheEvent(long sequence, boolean stored, String prefix) {}
