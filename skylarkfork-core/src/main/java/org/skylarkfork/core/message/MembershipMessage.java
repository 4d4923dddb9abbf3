package org.skylarkfork.core.message;

import java.util.List;
import org.skylarkfork.core.membership.MemberUpdate;

/** Messages by which daemons watch each other and spread who is there. */
public sealed interface MembershipMessage extends PeerMessage {

  /** Returns the sender's incarnation; messages of a replaced process are dropped by it. */
  long incarnation();

  /**
   * Asks for an {@link Ack}.
   *
   * @param incarnation of the sending process
   * @param sequence number of the probe, chosen by the sender
   * @param updates news of members
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
   * @param incarnation of the sending process
   * @param sequence number of the probe
   * @param updates news of members
   */
  record Ack(long incarnation, long sequence, List<MemberUpdate> updates)
      implements MembershipMessage {

    /** Copies the updates. */
    public Ack {
      updates = List.copyOf(updates);
    }
  }

  /**
   * Answers a {@link PingRequest} whose target is silent; shows that this daemon itself is well.
   *
   * @param incarnation of the sending process
   * @param sequence number of the probe
   */
  record Nack(long incarnation, long sequence) implements MembershipMessage {}

  /**
   * Asks a daemon to probe another on behalf of the sender.
   *
   * @param incarnation of the sending process
   * @param sequence number of the probe, chosen by the sender
   * @param target name of the daemon to probe
   */
  record PingRequest(long incarnation, long sequence, String target) implements MembershipMessage {}

  /**
   * Passes on news of members without a probe.
   *
   * @param incarnation of the sending process
   * @param updates news of members
   */
  record Gossip(long incarnation, List<MemberUpdate> updates) implements MembershipMessage {

    /** Copies the updates. */
    public Gossip {
      updates = List.copyOf(updates);
    }
  }

  /**
   * Starts a comparison; answered by {@link FullState} if the receiver knows other things.
   *
   * @param incarnation of the sending process
   * @param hash hash over the live members
   */
  record StateHash(long incarnation, long hash) implements MembershipMessage {}

  /**
   * A page of all that the sender knows of members.
   *
   * @param incarnation of the sending process
   * @param updates one for each member of the page
   * @param wantAnswer whether the receiver is to send its own pages
   */
  record FullState(long incarnation, List<MemberUpdate> updates, boolean wantAnswer)
      implements MembershipMessage {

    /** Copies the updates. */
    public FullState {
      updates = List.copyOf(updates);
    }
  }
}
