package org.skylarkfork.core.waiting;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * The order in which waiting calls get slots at one moment: by rank; then the team with the fewest
 * running calls; within a team, returning calls first, then those that can still meet the
 * objective, by its end, then the others by deadline.
 *
 * <p>Returning calls go first within their team only. When they went ahead of all teams, the
 * refused calls of a team at six times its usual rate took the slots of the others.
 */
final class CallOrder implements Comparator<SlotCall> {

  private final long latestStartMillis;

  /**
   * Creates the order.
   *
   * @param nowMillis the present time, in milliseconds since 1970
   * @param callMillis time from a slot to the answer that calls must still have to meet the
   *     objective, in milliseconds. With the mean duration half of the calls that were started last
   *     missed it, and under overload these are all.
   */
  CallOrder(long nowMillis, double callMillis) {
    this.latestStartMillis = nowMillis + (long) callMillis;
  }

  @Override
  public int compare(SlotCall one, SlotCall other) {
    if (one.ask.rank() != other.ask.rank()) {
      return Integer.compare(one.ask.rank(), other.ask.rank());
    }
    if (one.team.running != other.team.running) {
      return Integer.compare(one.team.running, other.team.running);
    }
    return compareInTeam(one, other);
  }

  private int compareInTeam(SlotCall one, SlotCall other) {
    if (one.returning != other.returning) {
      return one.returning ? -1 : 1;
    }
    boolean inObjective = one.objectiveMillis >= latestStartMillis;
    if (inObjective != other.objectiveMillis >= latestStartMillis) {
      return inObjective ? -1 : 1;
    }
    int byTime =
        inObjective
            ? Long.compare(one.objectiveMillis, other.objectiveMillis)
            : Long.compare(one.deadlineMillis, other.deadlineMillis);
    return byTime == 0 ? Long.compare(one.arrivedMillis, other.arrivedMillis) : byTime;
  }

  /**
   * Returns how many waiting calls get a slot before a call. Teams of one rank take turns from the
   * one with the fewest running calls on, so a call is behind as many calls of another team as that
   * team may start until both have the same number.
   */
  int ahead(SlotCall call, Iterable<SlotCall> waiting) {
    int ahead = 0;
    int sameTeam = 0;
    List<TeamLoad> others = new ArrayList<>();
    for (SlotCall other : waiting) {
      boolean sameRank = other.ask.rank() == call.ask.rank();
      if (other == call) {
        continue;
      } else if (!sameRank) {
        ahead += other.ask.rank() < call.ask.rank() ? 1 : 0;
      } else if (other.team == call.team) {
        sameTeam += compareInTeam(other, call) < 0 ? 1 : 0;
      } else if (other.team.counted++ == 0) {
        others.add(other.team);
      }
    }
    int level = call.team.running + sameTeam + 1;
    for (TeamLoad team : others) {
      ahead += Math.max(0, Math.min(team.counted, level - team.running));
      team.counted = 0;
    }
    return ahead + sameTeam;
  }
}
