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
   * Returns the rank of an attempt with the shift of its placement.
   *
   * @param relay the request
   * @param placement the attempt
   */
  static int of(ActiveRelay relay, Placement placement) {
    return of(placement.workMillis(), priority(relay), placement.shift());
  }

  /**
   * Returns the rank: a shorter prefill goes first, moved back by the priority and the shift.
   *
   * <p>Prefill times differ a hundredfold. When attempts were ranked by priority alone, short
   * questions waited for seconds behind long prompts; long prompts are delayed by only a few
   * hundredths if they let the short ones pass. Among attempts of about the same prefill time the
   * more important one goes first.
   *
   * @param workMillis time of the prefill in milliseconds
   * @param priority priority of the team or the route
   * @param shift number of ranks by which a team over its fair share is moved back
   */
  static int of(double workMillis, int priority, int shift) {
    double doublings = Math.log(workMillis / FIRST_RANK_MILLIS) / Math.log(2);
    int prefillRank = Math.max(0, (int) Math.ceil(doublings));
    // Ranks and shifts of other daemons may be any numbers; their sum must not overflow.
    return (int) Math.max(0, Math.min(LAST_RANK, (long) prefillRank + priority + shift));
  }

  /** Returns the priority of the request's team or, without one, of its route. */
  static int priority(ActiveRelay relay) {
    RelayTeam team = relay.team;
    Integer teamPriority = team == null ? null : team.priority();
    return teamPriority == null ? relay.route.priority() : teamPriority;
  }
}
