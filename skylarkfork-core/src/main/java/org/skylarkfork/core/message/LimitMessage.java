package org.skylarkfork.core.message;

import java.time.Duration;
import java.time.Instant;
import java.util.List;

/**
 * Messages by which entries lease shares of the teams' limits from the entry that allocates them.
 */
public sealed interface LimitMessage extends PeerMessage {

  /**
   * Reports the sender's demand to the entry that allocates the teams' limits.
   *
   * @param sentAt time of sending on the sender's clock, echoed in the grant
   * @param teams one element for each team with recent demand
   */
  record Demand(Instant sentAt, List<TeamDemand> teams) implements LimitMessage {

    /** Copies the list. */
    public Demand {
      teams = List.copyOf(teams);
    }
  }

  /**
   * The demand of one team at the sender.
   *
   * @param team name of the team
   * @param running number of running requests
   * @param waiting number of waiting requests
   * @param requestsPerSecond requests that arrive per second, whether admitted or refused
   * @param tokensPerMinute tokens that the arriving requests ask for per minute
   * @param using {@code demandSentAt} of the grant in use at the sender, which ignores older grants
   *     from now on
   */
  record TeamDemand(
      String team,
      int running,
      int waiting,
      double requestsPerSecond,
      double tokensPerMinute,
      Instant using) {}

  /**
   * Leases shares of limits to the entry whose {@link Demand} it answers; replaces the sender's
   * earlier grants for these teams.
   *
   * @param demandSentAt {@code sentAt} of the demand, on the receiver's clock
   * @param lease duration of the leases, counted from {@code demandSentAt}
   * @param teams one element for each team that receives a share
   */
  record Grant(Instant demandSentAt, Duration lease, List<TeamShare> teams)
      implements LimitMessage {

    /** Copies the list. */
    public Grant {
      teams = List.copyOf(teams);
    }
  }

  /**
   * A share that an entry may use in addition to its unleased fraction of the limit; 0 grants
   * nothing.
   *
   * @param team name of the team
   * @param requestsPerSecond requests per second
   * @param concurrentRequests number of concurrent requests
   * @param tokensPerMinute tokens per minute
   */
  record TeamShare(
      String team, double requestsPerSecond, int concurrentRequests, long tokensPerMinute) {}
}
