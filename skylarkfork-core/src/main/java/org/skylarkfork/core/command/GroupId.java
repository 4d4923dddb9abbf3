package org.skylarkfork.core.command;

import org.jspecify.annotations.Nullable;

/**
 * Identifies a replicated group.
 *
 * @param name purpose of the group, such as {@code configuration}
 * @param shard number of the shard, from 0
 */
public record GroupId(String name, int shard) {

  /** The group that replicates configuration, leases, orders and roll-outs. */
  public static final GroupId CONFIGURATION = new GroupId("configuration", 0);

  /** The first shard of the group that replicates claims and bills. */
  public static final GroupId LEDGER = new GroupId("ledger", 0);

  /** The group that replicates the relay's configuration, roll-outs and leaving upstreams. */
  public static final GroupId RELAY = new GroupId("relay", 0);

  /**
   * Compares name and shard.
   *
   * <p>The methods that the compiler generates for a record are linked at their first use, which
   * took 25 ms of a control VM's start. The hash code and {@code toString} are written out for the
   * same reason.
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
