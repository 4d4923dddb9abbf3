package org.skylarkfork.core.message;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.skylarkfork.core.configuration.ConfigurationDifference;
import org.skylarkfork.core.configuration.ConfigurationStep;
import org.skylarkfork.core.effect.OperatorEffect;
import org.skylarkfork.core.event.OperatorEvent;

/**
 * Messages that distribute the configuration and its leases from the control voters to all daemons.
 */
public sealed interface ConfigurationMessage extends PeerMessage {

  /**
   * Subscribes to a source, renews the configuration lease and acknowledges the applied revision. A
   * subscriber sends it to its source once per renewal interval, and earlier to report a risen
   * {@code floor} or to repair a gap.
   *
   * @param haveRevision newest revision that the sender has applied; 0 requests a full copy
   * @param sentAt time of sending on the sender's clock, echoed in the grant
   * @param floor lowest revision that the sender and every daemon with a lease from it have applied
   * @param lagging daemons below the sender's revision; a bounded excerpt of all of them
   * @param laggingCount number of all daemons below the sender's revision
   * @param repair whether the sender found a gap between revisions and requests the missing ones at
   *     once
   */
  record Renew(
      long haveRevision,
      Instant sentAt,
      long floor,
      List<LaggingEntry> lagging,
      int laggingCount,
      boolean repair)
      implements ConfigurationMessage {

    /** Copies the list of lagging daemons. */
    public Renew {
      lagging = List.copyOf(lagging);
    }
  }

  /**
   * A daemon that may still serve under an older revision.
   *
   * @param node node name of the daemon
   * @param revision revision that the daemon may still serve under
   * @param leaseLeft upper bound of the remaining time of its lease at that revision
   */
  record LaggingEntry(String node, long revision, Duration leaseLeft) {}

  /**
   * Grants or extends a configuration lease; a source's answer to {@link Renew}.
   *
   * @param requestSentAt {@code sentAt} of the subscriber's request, on the subscriber's clock
   * @param remaining duration of the lease, counted from {@code requestSentAt}
   * @param revision revision that the subscriber must have applied for the lease to be valid
   */
  record LeaseGrant(Instant requestSentAt, Duration remaining, long revision)
      implements ConfigurationMessage {}

  /**
   * Carries newer revisions from a source to a subscriber.
   *
   * @param steps steps in ascending order of revisions, without gaps between them
   */
  record Push(List<ConfigurationStep> steps) implements ConfigurationMessage {

    /** Copies the steps. */
    public Push {
      steps = List.copyOf(steps);
    }
  }

  /**
   * Carries one chunk of a full copy of the configuration from a source to a subscriber.
   *
   * @param revision revision of the copy
   * @param index index of the chunk, from 0
   * @param count number of chunks of the copy
   * @param differences differences from the empty configuration
   */
  record CopyChunk(long revision, int index, int count, List<ConfigurationDifference> differences)
      implements ConfigurationMessage {

    /** Copies the differences. */
    public CopyChunk {
      differences = List.copyOf(differences);
    }
  }

  /**
   * Requests the next chunk of a full copy; sent by a subscriber to its source.
   *
   * @param revision revision of the copy
   * @param index index of the chunk, from 0
   */
  record CopyRequest(long revision, int index) implements ConfigurationMessage {}

  /**
   * Rejects a subscriber, which then tries another source: the sender accepts no other subscriber
   * or holds no lease itself.
   */
  record TryOther() implements ConfigurationMessage {}

  /**
   * Forwards an operator's query to a control voter.
   *
   * @param origin node name of the daemon that received the query from the operator, and to which
   *     the answer is sent
   * @param hops number of times that the query has been forwarded
   * @param call the query
   */
  record OperatorCall(String origin, int hops, OperatorEvent call)
      implements ConfigurationMessage {}

  /**
   * Carries the answer to an operator's query back to the daemon that received it.
   *
   * @param answer the answer
   */
  record OperatorAnswer(OperatorEffect answer) implements ConfigurationMessage {}
}
