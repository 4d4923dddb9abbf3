package org.skylarkfork.core.message;

import java.util.List;
import org.skylarkfork.core.membership.MemberUpdate;

/** Messages by which daemons detect failures of each other and disseminate the membership. */
public sealed interface MembershipMessage extends PeerMessage {

  /**
   * Returns the incarnation number of the sender's process, by which receivers drop messages of a
   * replaced process.
   */
  long incarnation();

  /**
   * Probes a daemon, which answers with an {@link Ack}.
   *
   * @param incarnation incarnation number of the sending process
   * @param sequence sequence number of the probe, chosen by the sender
   * @param updates updates of members, piggybacked on the message
   */
  record Ping(long incarnation, long sequence, List<MemberUpdate> updates)
      implements MembershipMessage {

    /** Copies the updates. */
    public Ping {
      updates = List.copyOf(updates);
    }
  }

  /**
   * Answers a {@link Ping}, or a {@link PingRequest} once its target has answered.
   *
   * @param incarnation incarnation number of the sending process
   * @param sequence sequence number of the probe
   * @param updates updates of members, piggybacked on the message
   */
  record Ack(long incarnation, long sequence, List<MemberUpdate> updates)
      implements MembershipMessage {

    /** Copies the updates. */
    public Ack {
      updates = List.copyOf(updates);
    }
  }

  /**
   * Answers a {@link PingRequest} whose target has not answered yet; shows that the sender itself
   * is reachable.
   *
   * @param incarnation incarnation number of the sending process
   * @param sequence sequence number of the probe
   */
  record Nack(long incarnation, long sequence) implements MembershipMessage {}

  /**
   * Requests a daemon to probe another one on behalf of the sender.
   *
   * @param incarnation incarnation number of the sending process
   * @param sequence sequence number of the probe, chosen by the sender
   * @param target node name of the daemon to probe
   */
  record PingRequest(long incarnation, long sequence, String target) implements MembershipMessage {}

  /**
   * Disseminates updates of members without a probe.
   *
   * @param incarnation incarnation number of the sending process
   * @param updates updates of members, piggybacked on the message
   */
  record Gossip(long incarnation, List<MemberUpdate> updates) implements MembershipMessage {

    /** Copies the updates. */
    public Gossip {
      updates = List.copyOf(updates);
    }
  }

  /**
   * Starts an anti-entropy comparison; a receiver whose hash differs answers with {@link
   * FullState}.
   *
   * @param incarnation incarnation number of the sending process
   * @param hash hash over the live members that the sender knows
   */
  record StateHash(long incarnation, long hash) implements MembershipMessage {}

  /**
   * Carries one page of the sender's complete membership state.
   *
   * @param incarnation incarnation number of the sending process
   * @param updates one update for each member of the page
   * @param wantAnswer whether the receiver has to answer with its own pages
   */
  record FullState(long incarnation, List<MemberUpdate> updates, boolean wantAnswer)
      implements MembershipMessage {

    /** Copies the updates. */
    public FullState {
      updates = List.copyOf(updates);
    }
  }
}
