package org.skylarkfork.runtime.storage;

import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.command.GroupId;
import org.skylarkfork.core.command.HardState;

/**
 * First record of a segment.
 *
 * <p>It repeats the hard state, so that older segments can be deleted after a snapshot without
 * forgetting a vote.
 *
 * @param group whose log it is
 * @param number number of the segment, from 1
 * @param hardState newest hard state when the segment was begun, or null if there was none
 */
record SegmentStart(GroupId group, long number, @Nullable HardState hardState) {}
