package org.skylarkfork.core.message;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.skylarkfork.core.configuration.ConfigurationDifference;
import org.skylarkfork.core.configuration.ConfigurationStep;
import org.skylarkfork.core.effect.OperatorEffect;
import org.skylarkfork.core.event.OperatorEvent;

/** Messages that spread the configuration and its leases from the control voters to all daemons. */
public sealed interface ConfigurationMessage extends PeerMessage {

  /**
   * Subscribes, renews the configuration lease and acknowledges, all in one.
   *
   * @param haveRevision newest revision applied by the sender; 0 asks for a full copy
   * @param sentAt the sender's time, which the grant repeats
   * @param floor revision that the sender and all daemons that have a lease from it have reached
   * @param lagging daemons below the sender's revision, at most a few of them
   * @param laggingCount how many there are
   * @param repair whether the sender found a gap and wants what it misses at once
   */
  record Renew(
      long haveRevision,
      Instant sentAt,
      long floor,
      List<LaggingEntry> lagging,
      int laggingCount,
      boolean repair)
      implements ConfigurationMessage {

    /** Copies the list. */
    public Renew {
      lagging = List.copyOf(lagging);
    }
  }

  /**
   * A daemon that still may serve under an older revision.
   *
   * @param node its name
   * @param revision the revision that it may serve under
   * @param leaseLeft how long its lease at that revision lasts at most
   */
  record LaggingEntry(String node, long revision, Duration leaseLeft) {}

  /**
   * Grants or extends a configuration lease.
   *
   * @param requestSentAt time of the subscriber's request, on the subscriber's clock
   * @param remaining how long the lease lasts from the time of that request
   * @param revision the lease holds only for a daemon that has applied this revision
   */
  record LeaseGrant(Instant requestSentAt, Duration remaining, long revision)
      implements ConfigurationMessage {}

  /**
   * Brings newer revisions.
   *
   * @param steps the steps in order, without gaps between them
   */
  record Push(List<ConfigurationStep> steps) implements ConfigurationMessage {

    /** Copies the steps. */
    public Push {
      steps = List.copyOf(steps);
    }
  }

  /**
   * Brings a part of a full copy.
   *
   * @param revision revision of the copy
   * @param index number of the part, from 0
   * @param count number of parts
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
   * Asks for the next part of a full copy.
   *
   * @param revision revision of the copy
   * @param index number of the part
   */
  record CopyRequest(long revision, int index) implements ConfigurationMessage {}

  /** Tells a subscriber to subscribe elsewhere: the sender is full or has no lease itself. */
  record TryOther() implements ConfigurationMessage {}

  /**
   * Passes an operator's question on to a control voter.
   *
   * @param origin daemon that the operator asked, which gets the answer
   * @param hops how often it was passed on
   * @param call the question
   */
  record OperatorCall(String origin, int hops, OperatorEvent call)
      implements ConfigurationMessage {}

  /**
   * Brings the answer to an operator's question.
   *
   * @param answer the answer
   */
  record OperatorAnswer(OperatorEffect answer) implements ConfigurationMessage {}
}
