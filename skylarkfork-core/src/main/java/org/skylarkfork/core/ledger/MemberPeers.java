package org.skylarkfork.core.ledger;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import org.skylarkfork.core.membership.Member;
import org.skylarkfork.core.membership.Members;

/**
 * Picks backups among the members by rendezvous hashing, so that a change of one member moves few
 * backups.
 */
public final class MemberPeers implements LivePeers {

  private static final int BACKUPS = 2;
  private static final int MIXER = 0x9E3779B9;

  private final Members members;

  /**
   * Makes the view.
   *
   * @param members the daemons that are there
   */
  public MemberPeers(Members members) {
    this.members = members;
  }

  @Override
  public List<String> backups(Instant now) {
    List<Member> byRank =
        members.live().stream()
            .filter(this::canBack)
            .sorted(Comparator.comparingInt(this::rank).thenComparing(Member::name))
            .toList();
    List<Member> chosen = new ArrayList<>(firstOfEachZone(byRank));
    byRank.stream().filter(member -> !chosen.contains(member)).forEach(chosen::add);
    return chosen.stream().limit(BACKUPS).map(Member::name).toList();
  }

  private boolean canBack(Member member) {
    return member.has(Member.ENTRY)
        && !member.zone().equals(members.self().zone())
        && !members.isSuspected(member.name());
  }

  private int rank(Member member) {
    int hash = (members.self().name() + "/" + member.name()).hashCode() * MIXER;
    return hash ^ (hash >>> 15);
  }

  private static List<Member> firstOfEachZone(List<Member> byRank) {
    var seen = new HashSet<String>();
    return byRank.stream().filter(member -> seen.add(member.zone())).toList();
  }

  @Override
  public boolean isGone(String node, Instant now) {
    return members.find(node).isEmpty();
  }
}
