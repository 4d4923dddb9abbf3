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
  private static final double MIN_DEMAND_FRACTION = 0.02;

  private static final double EPSILON = 1e-6;
  private static final TeamDemand NO_DEMAND = new TeamDemand("", 0, 0, 0, 0, Instant.EPOCH);

  private final String name;
  private final Instant ownedSince;
  private final Duration ownerLease;
  private final TreeMap<String, LeaseHolder> holders = new TreeMap<>();

  OwnedTeam(String name, Instant ownedSince, Duration ownerLease) {
    this.name = name;
    this.ownedSince = ownedSince;
    this.ownerLease = ownerLease;
  }

  Instant ownedSince() {
    return ownedSince;
  }

  /** Takes a demand; returns false for one that is no newer than the entry's last. */
  boolean recordDemand(String entry, TeamDemand demand, Instant sentAt, Instant now) {
    return holders
        .computeIfAbsent(entry, key -> new LeaseHolder())
        .recordDemand(demand, sentAt, now.plus(ownerLease));
  }

  /** Forgets entries that are done; returns whether none is left. */
  boolean removeIdleHolders(Instant now) {
    holders.values().removeIf(holder -> holder.isIdle(now));
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
    TeamShare before = leased(now);
    TeamShare share =
        new TeamShare(
            name,
            Math.min(
                pool.requestsPerSecond()
                    * demandFraction(entry, TeamDemand::requestsPerSecond, now),
                Math.max(
                    0, pool.requestsPerSecond() - leasedToOthers(entry, now).requestsPerSecond())),
            Math.min(
                slots(entry, pool.concurrentRequests(), now),
                Math.max(0, pool.concurrentRequests() - slotsOfOthers(entry, unleasedSlots, now))),
            Math.min(
                (long)
                    (pool.tokensPerMinute()
                        * demandFraction(entry, TeamDemand::tokensPerMinute, now)),
                Math.max(
                    0, pool.tokensPerMinute() - leasedToOthers(entry, now).tokensPerMinute())));
    holders.get(entry).addLease(share, now.plus(ownerLease));
    checkLeasedTotal(leased(now), before, pool);
    return share;
  }

  /** A lowered limit is exceeded until the leases of the old one have ended, but never more so. */
  private static void checkLeasedTotal(TeamShare after, TeamShare before, TeamShare pool) {
    Invariants.check(
        after.requestsPerSecond()
                <= Math.max(pool.requestsPerSecond(), before.requestsPerSecond()) + EPSILON
            && after.concurrentRequests()
                <= Math.max(pool.concurrentRequests(), before.concurrentRequests())
            && after.tokensPerMinute()
                <= Math.max(pool.tokensPerMinute(), before.tokensPerMinute()),
        "the leased shares of a team's limits never exceed the limits");
  }

  /** Returns all that entries may use under leases not yet ended. */
  TeamShare leased(Instant now) {
    return leasedToOthers("", now);
  }

  private TeamShare leasedToOthers(String entry, Instant now) {
    double rate = 0;
    int slots = 0;
    long tokens = 0;
    for (Map.Entry<String, LeaseHolder> holder : holders.entrySet()) {
      if (!holder.getKey().equals(entry)) {
        TeamShare leased = holder.getValue().leased(name, now);
        rate += leased.requestsPerSecond();
        slots += leased.concurrentRequests();
        tokens += leased.tokensPerMinute();
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
    for (Map.Entry<String, LeaseHolder> holder : holders.entrySet()) {
      if (!holder.getKey().equals(entry)) {
        int running = demand(holder.getValue(), now).running() - unleasedSlots;
        slots += Math.max(running, holder.getValue().leased(name, now).concurrentRequests());
      }
    }
    return slots;
  }

  /** Returns an entry's part of all demand. */
  private double demandFraction(String entry, ToDoubleFunction<TeamDemand> amount, Instant now) {
    double total = 0;
    for (LeaseHolder holder : activeHolders(now)) {
      total += amount.applyAsDouble(demand(holder, now));
    }
    double floor = Math.max(EPSILON, total * MIN_DEMAND_FRACTION);
    double own = Math.max(floor, amount.applyAsDouble(demand(holders.get(entry), now)));
    double sum = 0;
    for (LeaseHolder holder : activeHolders(now)) {
      sum += Math.max(floor, amount.applyAsDouble(demand(holder, now)));
    }
    return own / sum;
  }

  private List<LeaseHolder> activeHolders(Instant now) {
    return holders.values().stream().filter(holder -> holder.demand(now) != null).toList();
  }

  private static TeamDemand demand(LeaseHolder holder, Instant now) {
    return Optional.ofNullable(holder.demand(now)).orElse(NO_DEMAND);
  }

  /**
   * Returns an entry's places: whole ones by demand, the rest to the largest remainders.
   *
   * <p>With fewer places than entries, equal demand would give the rest to the same entries for
   * ever. So the order among equals changes with each lease.
   */
  private int slots(String entry, int pool, Instant now) {
    int total = 0;
    for (LeaseHolder holder : activeHolders(now)) {
      total += wantedSlots(holder, now);
    }
    if (total == 0) {
      return 0;
    }
    long rotation = now.getEpochSecond() / Math.max(1, 2 * ownerLease.toSeconds());
    TreeMap<String, Long> remainders = new TreeMap<>();
    int remaining = pool;
    for (Map.Entry<String, LeaseHolder> holder : holders.entrySet()) {
      long scaledDemand = (long) pool * wantedSlots(holder.getValue(), now);
      remaining -= (int) (scaledDemand / total);
      if (scaledDemand > 0) {
        remainders.put(holder.getKey(), scaledDemand % total);
      }
    }
    List<String> order =
        remainders.keySet().stream()
            .sorted(
                Comparator.comparing((String name) -> remainders.get(name))
                    .reversed()
                    .thenComparing(name -> Hashes.mix(Hashes.of(name) ^ rotation)))
            .toList();
    long wholeSlots = (long) pool * wantedSlots(holders.get(entry), now) / total;
    int index = order.indexOf(entry);
    return (int) wholeSlots + (index >= 0 && index < remaining ? 1 : 0);
  }

  private static int wantedSlots(LeaseHolder holder, Instant now) {
    TeamDemand demand = demand(holder, now);
    boolean hasArrivals = demand.requestsPerSecond() > EPSILON;
    return Math.max(hasArrivals ? 1 : 0, demand.running() + demand.waiting());
  }
}
