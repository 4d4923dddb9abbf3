package org.skylarkfork.core.command;

/**
 * One replica of a group: a node together with the disk that it keeps its promises on.
 *
 * @param node name of the daemon
 * @param instance number drawn when the daemon first started on an empty disk; a wiped disk gets
 *     another one, so its promises aren't taken for those of the old disk
 */
public record Member(String node, long instance) {}
