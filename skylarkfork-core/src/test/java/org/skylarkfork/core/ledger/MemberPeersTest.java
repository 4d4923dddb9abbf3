package org.skylarkfork.core.ledger;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.skylarkfork.core.membership.Member;
import org.skylarkfork.core.membership.Members;
import org.skylarkfork.core.membership.ServingState;
import org.testng.annotations.Test;

/** Tests the selection of an entry's backups. */
public class MemberPeersTest {

  private final List<Member> live = new ArrayList<>();

  private static Member member(String name, String zone) {
    return new Member(
        name,
        "127.0.0.1",
        1,
        2,
        3,
        zone,
        "nl-mid",
        List.of(Member.ENTRY),
        1,
        1,
        1,
        ServingState.values()[0]);
  }

  private final Members members =
      new Members() {
        @Override
        public Member self() {
          return live.get(0);
        }

        @Override
        public List<Member> live() {
          return live;
        }

        @Override
        public List<Member> liveIn(String zone) {
          return live.stream().filter(member -> member.zone().equals(zone)).toList();
        }

        @Override
        public Optional<Member> find(String name) {
          return live.stream().filter(member -> member.name().equals(name)).findFirst();
        }

        @Override
        public boolean isSuspected(String name) {
          return name.equals("suspect");
        }

        @Override
        public boolean isSuperseded() {
          return false;
        }
      };

  @Test
  public void backupsAreInTwoOtherZonesAndStayWhenOthersLeave() {
    for (String zone : List.of("utrecht-a", "utrecht-b", "amersfoort")) {
      for (int i = 0; i < 3; i++) {
        live.add(member("entry-" + zone + i, zone));
      }
    }
    live.add(member("suspect", "amersfoort"));
    MemberPeers peers = new MemberPeers(members);
    List<String> backups = peers.backups(Instant.EPOCH);
    List<String> zones =
        backups.stream().map(name -> members.find(name).orElseThrow().zone()).sorted().toList();
    assertEquals(zones, List.of("amersfoort", "utrecht-b"));
    Member other =
        live.stream()
            .filter(member -> member.zone().equals(zones.get(0)))
            .filter(member -> !backups.contains(member.name()))
            .findFirst()
            .orElseThrow();
    live.remove(other);
    assertEquals(peers.backups(Instant.EPOCH), backups);
    live.remove(members.find(backups.get(0)).orElseThrow());
    assertNotEquals(peers.backups(Instant.EPOCH), backups);
    assertTrue(peers.isGone(backups.get(0), Instant.EPOCH));
    assertFalse(peers.isGone(backups.get(1), Instant.EPOCH));
  }

  /** For random members, the backups are the first two by rank, with distinct zones preferred. */
  @Test
  public void backupsAreTheFirstByRankOfDifferentZones() {
    UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(7);
    MemberPeers peers = new MemberPeers(members);
    for (int round = 0; round < 500; round++) {
      live.clear();
      live.add(member("self", "zone-0"));
      int others = random.nextInt(6);
      int zones = 1 + random.nextInt(4);
      for (int i = 0; i < others; i++) {
        live.add(member("entry-" + random.nextInt(1000), "zone-" + random.nextInt(zones)));
      }
      assertEquals(peers.backups(Instant.EPOCH), expected(), live.toString());
    }
  }

  private List<String> expected() {
    List<Member> ranked =
        live.stream()
            .filter(member -> !member.zone().equals("zone-0"))
            .distinct()
            .sorted(Comparator.comparingInt(MemberPeersTest::rank).thenComparing(Member::name))
            .toList();
    Set<String> zones = new HashSet<>();
    List<String> names = new ArrayList<>();
    ranked.stream().filter(member -> zones.add(member.zone())).forEach(m -> names.add(m.name()));
    ranked.stream().map(Member::name).filter(name -> !names.contains(name)).forEach(names::add);
    return names.subList(0, Math.min(2, names.size()));
  }

  private static int rank(Member member) {
    int hash = ("self/" + member.name()).hashCode() * 0x9E3779B9;
    return hash ^ (hash >>> 15);
  }
}
