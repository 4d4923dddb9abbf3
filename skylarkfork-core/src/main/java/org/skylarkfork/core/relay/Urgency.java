package org.skylarkfork.core.relay;

/** The rank of an attempt among those that wait at an engine; 0 goes first. */
final class Urgency {

  /**
   * Prefill time up to which an attempt gets the first rank; each doubling makes it one rank later.
   */
  private static final double FIRST_RANK_MILLIS = 20;

  /** Last rank that engines distinguish. */
  private static final int LAST_RANK = 9;

  private Urgency() {}

  /**
   * Returns the rank: a shorter prefill goes first, shifted by the priority of the team or, without
   * one, of the route.
   *
   * <p>Prefill times differ a hundredfold. When attempts were ranked by priority alone, short
   * questions waited for seconds behind long prompts; long prompts are delayed by only a few
   * hundredths if they let the short ones pass. Among attempts of about the same prefill time the
   * more important one goes first.
   */
  static int of(ActiveRelay relay, Placement placement) {
    RelayTeam team = relay.team;
    Integer teamPriority = team == null ? null : team.priority();
    int priority = teamPriority == null ? relay.route.priority() : teamPriority;
    double doublings = Math.log(placement.workMillis() / FIRST_RANK_MILLIS) / Math.log(2);
    int prefillRank = Math.max(0, (int) Math.ceil(doublings));
    return Math.max(0, Math.min(LAST_RANK, prefillRank + priority));
  }
}
