package org.skylarkfork.core.command;

import org.jspecify.annotations.Nullable;

/**
 * The state besides the log that a voter must persist across a crash.
 *
 * @param term newest term seen, 0 on a new disk
 * @param votedFor node that received this voter's vote in the term, or null for none
 * @param instance random number that identifies the disk, drawn once when the disk was empty
 */
public record HardState(long term, @Nullable String votedFor, long instance) {}
