package org.skylarkfork.core.command;

import org.jspecify.annotations.Nullable;

/**
 * One replica of a group: a node together with the disk that it keeps its promises on.
 *
 * @param node name of the daemon
 * @param instance number drawn when the daemon first started on an empty disk; a wiped disk gets
 *     another one, so its promises aren't taken for those of the old disk
 */
public record Member(String node, long instance) {

  /** Compares node and disk; written out for the reason given at {@link GroupId#equals}. */
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

  /** Returns the member as logs name it: the node, a slash, the number of its disk. */
  @Override
  public String toString() {
    return node + "/" + instance;
  }
}
