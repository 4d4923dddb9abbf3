package org.skylarkfork.core.ledger;

import java.util.ArrayList;
import java.util.List;
import org.skylarkfork.core.command.GroupId;

/**
 * Which ledger group keeps a team's key; every daemon must be given the same number of shards.
 *
 * <p>A key's claim and bill live in the same group, so a resend finds both.
 */
public final class LedgerShards {

  private final List<GroupId> groups;

  /**
   * Makes the mapping.
   *
   * @param shards number of groups, at least 1
   */
  public LedgerShards(int shards) {
    if (shards < 1) {
      throw new IllegalArgumentException("there must be at least one ledger shard; set it to 1");
    }
    List<GroupId> all = new ArrayList<>();
    for (int shard = 0; shard < shards; shard++) {
      all.add(new GroupId(GroupId.LEDGER.name(), shard));
    }
    groups = List.copyOf(all);
  }

  /** Returns the group that keeps a key. */
  public GroupId shardOf(String team, String key) {
    // String.hashCode is fixed by the language, so all daemons agree; the mixing spreads keys that
    // differ in their last characters only.
    int hash = (31 * team.hashCode() + key.hashCode()) * 0x9E3779B9;
    return groups.get(Integer.remainderUnsigned(hash >>> 8, groups.size()));
  }

  /** Returns all groups in the order of their numbers. */
  public List<GroupId> all() {
    return groups;
  }
}
