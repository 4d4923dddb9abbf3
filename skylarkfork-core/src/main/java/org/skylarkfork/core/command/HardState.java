package org.skylarkfork.core.command;

import org.jspecify.annotations.Nullable;

/**
 * What a voter must remember through a crash besides its log.
 *
 * @param term newest term seen, 0 on a new disk
 * @param votedFor node that got this voter's vote in the term, or null for none
 * @param instance number of the disk, drawn once when it was empty
 */
public record HardState(long term, @Nullable String votedFor, long instance) {}
