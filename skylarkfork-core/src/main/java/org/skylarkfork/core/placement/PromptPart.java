package org.skylarkfork.core.placement;

/**
 * A part of a prompt that other requests may share.
 *
 * @param id tells parts apart
 * @param tokens its length in tokens
 */
public record PromptPart(String id, int tokens) {}
