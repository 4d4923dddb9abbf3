package org.skylarkfork.core.message;

import java.time.Duration;
import java.time.Instant;
import java.util.List;

/** Messages by which entries lease shares of the teams' limits from one of them. */
public sealed interface LimitMessage extends PeerMessage {

  /**
   * Tells the entry that hands out teams' limits what the sender needs of them.
   *
   * @param sentAt the sender's time, which the grant repeats
   * @param teams one for each team with recent demand
   */
  record Demand(Instant sentAt, List<TeamDemand> teams) implements LimitMessage {

    /** Copies the list. */
    public Demand {
      teams = List.copyOf(teams);
    }
  }

  /**
   * What one team asks of the sender.
   *
   * @param team name of the team
   * @param running requests that run
   * @param waiting requests that wait
   * @param requestsPerSecond requests that arrive a second, whatever becomes of them
   * @param tokensPerMinute tokens that they ask for a minute
   * @param using {@code sentAt} of the grant that the sender uses; it ignores older ones from now
   *     on
   */
  record TeamDemand(
      String team,
      int running,
      int waiting,
      double requestsPerSecond,
      double tokensPerMinute,
      Instant using) {}

  /**
   * Leases shares of limits; replaces the sender's earlier grants for these teams.
   *
   * @param demandSentAt time of the demand, on the receiver's clock
   * @param lease how long the shares hold from the time of that demand
   * @param teams one for each team that gets a share
   */
  record Grant(Instant demandSentAt, Duration lease, List<TeamShare> teams)
      implements LimitMessage {

    /** Copies the list. */
    public Grant {
      teams = List.copyOf(teams);
    }
  }

  /**
   * A share that comes on top of what each entry has without a lease; 0 means nothing.
   *
   * @param team name of the team
   * @param requestsPerSecond requests a second
   * @param concurrentRequests requests at the same time
   * @param tokensPerMinute tokens a minute
   */
  record TeamShare(
      String team, double requestsPerSecond, int concurrentRequests, long tokensPerMinute) {}
}
