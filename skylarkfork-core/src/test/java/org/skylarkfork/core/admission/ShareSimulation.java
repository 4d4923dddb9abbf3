package org.skylarkfork.core.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.skylarkfork.core.Reducer;
import org.skylarkfork.core.configuration.Limits;
import org.skylarkfork.core.configuration.Team;
import org.skylarkfork.core.membership.Member;
import org.skylarkfork.core.membership.Members;
import org.skylarkfork.core.membership.ServingState;
import org.skylarkfork.core.testing.SimulatedNetwork;

/** Entries that lease shares from each other over a network with faults. */
final class ShareSimulation {

  final SimulatedNetwork network;
  final TreeMap<String, Entry> entries = new TreeMap<>();
  private final Map<String, Limits> limits;

  ShareSimulation(long seed, int count, Map<String, Limits> limits) {
    this.network = new SimulatedNetwork(seed);
    this.limits = limits;
    for (int i = 1; i <= count; i++) {
      entries.put("entry-" + i, new Entry("entry-" + i));
    }
    for (Entry entry : entries.values()) {
      entry.live = List.copyOf(entries.keySet());
      network.add(entry.name, List.of(), start -> new Reducer(List.of(entry.createShares())));
      network.start(entry.name);
    }
  }

  /** Restarts an entry, which then sees all others as live. */
  void restart(String entry) {
    entries.get(entry).live = List.copyOf(entries.keySet());
    entries.get(entry).nextLive = List.of();
    network.start(entry);
  }

  Team team(String name) {
    return AdmissionSimulation.team(name, limits.get(name), 1);
  }

  Limits share(String entry, String team) {
    return entries.get(entry).shares.share(team(team), network.now());
  }

  int slots(String entry, String team) {
    return Math.max(0, share(entry, team).concurrentRequests());
  }

  /** Returns the total of the running entries' shares. */
  Limits total(String team) {
    double rate = 0;
    int slots = 0;
    long tokens = 0;
    for (String entry : entries.keySet()) {
      if (network.isUp(entry)) {
        Limits share = share(entry, team);
        rate += share.requestsPerSecond();
        slots += Math.max(0, share.concurrentRequests());
        tokens += Math.max(0, share.tokensPerMinute());
      }
    }
    return new Limits(rate, slots, tokens);
  }

  /** Replaces the entries that an entry sees as live, after a delay. */
  void changeView(String entry, List<String> others, Duration delay) {
    entries.get(entry).nextLive = new ArrayList<>(others);
    entries.get(entry).nextLiveIn = delay;
  }

  /** Runs the network for a second, in steps at which the entries' views change. */
  void runSecond() {
    for (int step = 0; step < 10; step++) {
      network.run(Duration.ofMillis(100));
      for (Entry entry : entries.values()) {
        entry.nextLiveIn = entry.nextLiveIn.minusMillis(100);
        if (entry.nextLiveIn.isNegative()) {
          entry.live = entry.nextLive.isEmpty() ? entry.live : entry.nextLive;
        }
      }
    }
  }

  void runSeconds(int count) {
    for (int second = 0; second < count; second++) {
      runSecond();
    }
  }

  /** An entry whose live members and team loads are set by the test. */
  final class Entry implements Members {
    final String name;
    final Map<String, TeamLoad> loads = new HashMap<>();
    List<String> live = List.of();
    List<String> nextLive = List.of();
    Duration nextLiveIn = Duration.ZERO;
    LeasedShares shares;

    Entry(String name) {
      this.name = name;
    }

    LeasedShares createShares() {
      shares =
          new LeasedShares(
              this,
              team -> loads.getOrDefault(team, TeamLoad.NONE),
              team -> Optional.ofNullable(limits.get(team)),
              ShareSettings.DEFAULT);
      return shares;
    }

    /** Sets a team's load and adds submitted requests with a hundred tokens each. */
    void setLoad(String team, int running, int waiting, int newRequests) {
      TeamLoad previous = loads.getOrDefault(team, TeamLoad.NONE);
      loads.put(
          team,
          new TeamLoad(
              running,
              waiting,
              previous.submittedRequests() + newRequests,
              previous.submittedTokens() + 100L * newRequests));
      shares.share(team(team), network.now());
    }

    private Member member(String other) {
      List<String> roles = List.of(Member.ENTRY);
      return new Member(
          other, "127.0.0.1", 1, 2, 3, "zone-a", "region", roles, 1, 1, 1, ServingState.SERVING);
    }

    @Override
    public Member self() {
      return member(name);
    }

    @Override
    public List<Member> live() {
      return live.stream().map(this::member).toList();
    }

    @Override
    public List<Member> liveIn(String zone) {
      return live();
    }

    @Override
    public Optional<Member> find(String other) {
      return live().stream().filter(member -> member.name().equals(other)).findFirst();
    }

    @Override
    public boolean isSuspected(String other) {
      return false;
    }

    @Override
    public boolean isSuperseded() {
      return false;
    }
  }
}
