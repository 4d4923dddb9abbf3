package org.skylarkfork.core.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;
import org.skylarkfork.core.Invariants;
import org.skylarkfork.core.membership.Hashes;
import org.skylarkfork.core.message.LimitMessage.TeamDemand;
import org.skylarkfork.core.message.LimitMessage.TeamShare;

/** Leases the shares of one team's limits to the entries. */
final class OwnedTeam {

  /** Part of all demand that each asking entry counts for at the least. */
  private static final double FLOOR = 0.02;

  private static final double ROUNDING = 1e-6;
  private static final TeamDemand NO_DEMAND = new TeamDemand("", 0, 0, 0, 0, Instant.EPOCH);

  private final String name;
  private final Instant ownedSince;
  private final Duration longLease;
  private final TreeMap<String, ShareHolder> holders = new TreeMap<>();

  OwnedTeam(String name, Instant ownedSince, Duration longLease) {
    this.name = name;
    this.ownedSince = ownedSince;
    this.longLease = longLease;
  }

  Instant ownedSince() {
    return ownedSince;
  }

  /** Takes a demand; returns false for one that is no newer than the entry's last. */
  boolean hear(String entry, TeamDemand demand, Instant sentAt, Instant now) {
    return holders
        .computeIfAbsent(entry, key -> new ShareHolder())
        .hear(demand, sentAt, now.plus(longLease));
  }

  /** Forgets entries that are done; returns whether none is left. */
  boolean forget(Instant now) {
    holders.values().removeIf(holder -> holder.isDone(now));
    return holders.isEmpty();
  }

  /**
   * Leases a share to an entry that just told its demand.
   *
   * @param entry the entry
   * @param pool all that is leased to all entries
   * @param unleasedSlots how many requests each entry may run without a lease
   * @param now the present time
   */
  TeamShare grant(String entry, TeamShare pool, int unleasedSlots, Instant now) {
    TeamShare before = held(now);
    TeamShare share =
        new TeamShare(
            name,
            Math.min(
                pool.requestsPerSecond() * part(entry, TeamDemand::requestsPerSecond, now),
                Math.max(
                    0, pool.requestsPerSecond() - heldByOthers(entry, now).requestsPerSecond())),
            Math.min(
                slots(entry, pool.concurrentRequests(), now),
                Math.max(0, pool.concurrentRequests() - slotsOfOthers(entry, unleasedSlots, now))),
            Math.min(
                (long) (pool.tokensPerMinute() * part(entry, TeamDemand::tokensPerMinute, now)),
                Math.max(0, pool.tokensPerMinute() - heldByOthers(entry, now).tokensPerMinute())));
    holders.get(entry).promise(share, now.plus(longLease));
    checkSum(held(now), before, pool);
    return share;
  }

  /** A lowered limit is exceeded until the leases of the old one have ended, but never more so. */
  private static void checkSum(TeamShare after, TeamShare before, TeamShare pool) {
    Invariants.check(
        after.requestsPerSecond()
                <= Math.max(pool.requestsPerSecond(), before.requestsPerSecond()) + ROUNDING
            && after.concurrentRequests()
                <= Math.max(pool.concurrentRequests(), before.concurrentRequests())
            && after.tokensPerMinute()
                <= Math.max(pool.tokensPerMinute(), before.tokensPerMinute()),
        "the leased shares of a team's limits never exceed the limits");
  }

  /** Returns all that entries may use under leases not yet ended. */
  TeamShare held(Instant now) {
    return heldByOthers("", now);
  }

  private TeamShare heldByOthers(String entry, Instant now) {
    double rate = 0;
    int slots = 0;
    long tokens = 0;
    for (Map.Entry<String, ShareHolder> holder : holders.entrySet()) {
      if (!holder.getKey().equals(entry)) {
        TeamShare held = holder.getValue().held(name, now);
        rate += held.requestsPerSecond();
        slots += held.concurrentRequests();
        tokens += held.tokensPerMinute();
      }
    }
    return new TeamShare(name, rate, slots, tokens);
  }

  /**
   * Returns the places of other entries.
   *
   * <p>A request outlives the lease under which it started. If only leases counted, the place of
   * one that still runs would be leased again, and more requests than the limit would run. So what
   * an entry reports as running counts as its own until it has ended there.
   */
  private int slotsOfOthers(String entry, int unleasedSlots, Instant now) {
    int slots = 0;
    for (Map.Entry<String, ShareHolder> holder : holders.entrySet()) {
      if (!holder.getKey().equals(entry)) {
        int running = demand(holder.getValue(), now).running() - unleasedSlots;
        slots += Math.max(running, holder.getValue().held(name, now).concurrentRequests());
      }
    }
    return slots;
  }

  /** Returns an entry's part of all demand. */
  private double part(String entry, ToDoubleFunction<TeamDemand> amount, Instant now) {
    double all = 0;
    for (ShareHolder holder : asking(now)) {
      all += amount.applyAsDouble(demand(holder, now));
    }
    double floor = Math.max(ROUNDING, all * FLOOR);
    double own = Math.max(floor, amount.applyAsDouble(demand(holders.get(entry), now)));
    double sum = 0;
    for (ShareHolder holder : asking(now)) {
      sum += Math.max(floor, amount.applyAsDouble(demand(holder, now)));
    }
    return own / sum;
  }

  private List<ShareHolder> asking(Instant now) {
    return holders.values().stream().filter(holder -> holder.demand(now) != null).toList();
  }

  private static TeamDemand demand(ShareHolder holder, Instant now) {
    return Optional.ofNullable(holder.demand(now)).orElse(NO_DEMAND);
  }

  /**
   * Returns an entry's places: whole ones by demand, the rest to the largest remainders.
   *
   * <p>With fewer places than entries, equal demand would give the rest to the same entries for
   * ever. So the order among equals changes with each lease.
   */
  private int slots(String entry, int pool, Instant now) {
    int all = 0;
    for (ShareHolder holder : asking(now)) {
      all += places(holder, now);
    }
    if (all == 0) {
      return 0;
    }
    long turn = now.getEpochSecond() / Math.max(1, 2 * longLease.toSeconds());
    TreeMap<String, Long> remainders = new TreeMap<>();
    int left = pool;
    for (Map.Entry<String, ShareHolder> holder : holders.entrySet()) {
      long wanted = (long) pool * places(holder.getValue(), now);
      left -= (int) (wanted / all);
      if (wanted > 0) {
        remainders.put(holder.getKey(), wanted % all);
      }
    }
    List<String> order =
        remainders.keySet().stream()
            .sorted(
                Comparator.comparing((String name) -> remainders.get(name))
                    .reversed()
                    .thenComparing(name -> Hashes.mix(Hashes.of(name) ^ turn)))
            .toList();
    long whole = (long) pool * places(holders.get(entry), now) / all;
    int rank = order.indexOf(entry);
    return (int) whole + (rank >= 0 && rank < left ? 1 : 0);
  }

  private static int places(ShareHolder holder, Instant now) {
    TeamDemand demand = demand(holder, now);
    boolean arrivals = demand.requestsPerSecond() > ROUNDING;
    return Math.max(arrivals ? 1 : 0, demand.running() + demand.waiting());
  }
}
