package org.skylarkfork.runtime.storage;

import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.command.GroupId;
import org.skylarkfork.core.command.HardState;

/**
 * The first record of a segment.
 *
 * <p>The record repeats the hard state, so that older segments can be deleted after a snapshot
 * without losing a vote.
 *
 * @param group group that the log belongs to
 * @param number number of the segment, from 1
 * @param hardState latest hard state when the segment was created, or null if there was none
 */
record SegmentStart(GroupId group, long number, @Nullable HardState hardState) {}
