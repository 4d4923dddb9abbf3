package org.skylarkfork.core.placement;

/**
 * A part of a prompt that other requests may share.
 *
 * @param id identifier of the part
 * @param tokens length in tokens
 */
public record PromptPart(String id, int tokens) {}
