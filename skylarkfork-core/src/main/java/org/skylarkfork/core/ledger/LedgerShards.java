package org.skylarkfork.core.ledger;

import java.util.ArrayList;
import java.util.List;
import org.skylarkfork.core.command.GroupId;

/**
 * Maps a team's key to a ledger group. Every daemon must use the same number of shards.
 *
 * <p>The claim and the bill of a key are stored in the same group, so a resend finds both.
 */
public final class LedgerShards {

  private final List<GroupId> groups;

  /**
   * Creates the mapping.
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

  /** Returns the group that stores the claim and the bill of a key. */
  public GroupId shardOf(String team, String key) {
    // The Java specification defines String.hashCode, so all daemons compute the same group. The
    // multiplication spreads keys that differ in their last characters only.
    int hash = (31 * team.hashCode() + key.hashCode()) * 0x9E3779B9;
    return groups.get(Integer.remainderUnsigned(hash >>> 8, groups.size()));
  }

  /** Returns all groups in ascending order of their shard numbers. */
  public List<GroupId> all() {
    return groups;
  }
}
