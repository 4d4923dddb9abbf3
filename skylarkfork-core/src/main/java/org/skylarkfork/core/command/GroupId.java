package org.skylarkfork.core.command;

import org.jspecify.annotations.Nullable;

/**
 * Names one replicated group.
 *
 * @param name the job of the group, such as {@code configuration}
 * @param shard number of the shard, from 0
 */
public record GroupId(String name, int shard) {

  /** The group that holds configuration, leases, orders and roll-outs. */
  public static final GroupId CONFIGURATION = new GroupId("configuration", 0);

  /** The first shard of the group that holds claims and bills. */
  public static final GroupId LEDGER = new GroupId("ledger", 0);

  /** The group that holds the relay's configuration, roll-outs and leaving upstreams. */
  public static final GroupId RELAY = new GroupId("relay", 0);

  /**
   * Compares name and shard.
   *
   * <p>What the compiler makes for a record is linked at its first use, which took 25 ms of a
   * control VM's start; so are the hash code and {@code toString}.
   */
  @Override
  public boolean equals(@Nullable Object other) {
    return other instanceof GroupId group && shard == group.shard && name.equals(group.name);
  }

  @Override
  public int hashCode() {
    return 31 * name.hashCode() + shard;
  }

  @Override
  public String toString() {
    return name + "-" + shard;
  }
}
