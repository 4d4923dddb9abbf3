package org.skylarkfork.core.relay;

/** The rank that an attempt gets among those that wait at an engine, 0 first. */
final class Urgency {

  /** Reading up to which an attempt gets the first rank; each doubling makes it one rank later. */
  private static final double FIRST_RANK_MILLIS = 20;

  /** Last rank that engines tell apart. */
  private static final int LAST = 9;

  private Urgency() {}

  /**
   * Returns the rank: short reading first, moved by the priority of the team, else of the route.
   *
   * <p>Readings differ a hundredfold. Ranked by priority alone, short questions waited for seconds
   * behind long prompts, which are delayed by a few hundredths if they let the short ones pass. Of
   * attempts that take about as long, the more important goes first.
   */
  static int of(ActiveRelay relay, Placement placement) {
    RelayTeam team = relay.team;
    Integer own = team == null ? null : team.priority();
    int priority = own == null ? relay.route.priority() : own;
    double doublings = Math.log(placement.workMillis() / FIRST_RANK_MILLIS) / Math.log(2);
    int length = Math.max(0, (int) Math.ceil(doublings));
    return Math.max(0, Math.min(LAST, length + priority));
  }
}
