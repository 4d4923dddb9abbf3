package org.skylarkfork.core.command;

import org.jspecify.annotations.Nullable;

/**
 * A replica of a group: a node together with the disk that stores its votes and log.
 *
 * @param node name of the daemon
 * @param instance number drawn when the daemon first started on an empty disk; a wiped disk gets
 *     another number, so that the votes and log of the old disk aren't attributed to it
 */
public record Member(String node, long instance) {

  /** Compares node and disk; written out for the reason stated at {@link GroupId#equals}. */
  @Override
  public boolean equals(@Nullable Object other) {
    return other instanceof Member member
        && instance == member.instance
        && node.equals(member.node);
  }

  @Override
  public int hashCode() {
    return 31 * node.hashCode() + Long.hashCode(instance);
  }

  /** Returns the member's name in logs: the node, a slash and the number of its disk. */
  @Override
  public String toString() {
    return node + "/" + instance;
  }
}
