package org.skylarkfork.core.configuration;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.Part;
import org.skylarkfork.core.command.GroupId;
import org.skylarkfork.core.consensus.Submitter;
import org.skylarkfork.core.effect.TraceEffect;
import org.skylarkfork.core.event.ConfigurationEvent;
import org.skylarkfork.core.event.ConsensusEvent;
import org.skylarkfork.core.event.Event;
import org.skylarkfork.core.event.LifecycleEvent;
import org.skylarkfork.core.event.OperatorEvent;
import org.skylarkfork.core.event.PeerEvent;
import org.skylarkfork.core.message.ConfigurationMessage;

/**
 * The configuration in force on a daemon: takes newer revisions and leases, passes them on to other
 * daemons, and answers operators.
 *
 * <p>The present time must come from a clock that doesn't jump. A step backwards ends the lease.
 */
public final class ConfigurationPart implements Part, ConfigurationView {

  private final String node;
  private final ConfigurationSettings settings;
  private final ConfigurationSources sources;
  private final List<String> voters;
  private final @Nullable LocalReplica replica;
  private final AppliedConfiguration applied = new AppliedConfiguration();
  private final EntryLease lease;
  private final Subscribers subscribers;
  private final RevisionApplier revisionApplier;
  private final OperatorCalls calls;
  private final @Nullable InForceTracker inForce;
  private @Nullable Subscription subscription;
  private @Nullable String leader;
  private Instant latestTime = Instant.EPOCH;
  private boolean serving;

  /**
   * Makes the part.
   *
   * @param node name of this daemon
   * @param settings times and bounds
   * @param sources where a daemon without a replica subscribes; a replica follows the leader
   * @param voters names of the daemons that host a replica of the configuration group
   * @param submitter the way for changes to the configuration group
   * @param replica the replica on this daemon, or null if it hosts none
   */
  public ConfigurationPart(
      String node,
      ConfigurationSettings settings,
      ConfigurationSources sources,
      List<String> voters,
      Submitter submitter,
      @Nullable LocalReplica replica) {
    this.node = node;
    this.settings = settings;
    this.sources = sources;
    this.voters = List.copyOf(voters);
    this.replica = replica;
    this.lease = new EntryLease(settings);
    this.subscribers = new Subscribers(settings, applied, lease);
    this.revisionApplier = new RevisionApplier(applied, lease, subscribers);
    ReplicaReader reader = null;
    if (replica == null) {
      inForce = null;
    } else {
      inForce = new InForceTracker(settings, replica.machine(), subscribers);
      reader = new ReplicaReader(replica, inForce);
    }
    this.calls = new OperatorCalls(node, settings, applied, submitter, voters, reader);
  }

  @Override
  public Configuration current() {
    return applied.current();
  }

  @Override
  public boolean mayServe(Instant now) {
    return applied.revision() > 0 && lease.isValid(now);
  }

  @Override
  public Optional<Team> teamByKeyHash(String sha256) {
    return Optional.ofNullable(applied.teamByKeyHash(sha256));
  }

  /** Returns when the configuration lease ends, or the epoch if there was none. */
  public Instant leaseEnd() {
    return lease.end();
  }

  @Override
  public void apply(Event event, Instant now, Output output) {
    checkClock(now, output);
    if (event instanceof LifecycleEvent.Tick) {
      tick(now, output);
    } else if (event instanceof PeerEvent.MessageReceived received) {
      if (received.message() instanceof ConfigurationMessage message) {
        onMessage(received.node(), message, now, output);
      }
    } else if (event instanceof PeerEvent.ConnectionLost lost) {
      subscription(now).sourceLost(lost.node(), now, output);
    } else if (event instanceof ConsensusEvent consensus) {
      onConsensus(consensus, now, output);
    } else if (event instanceof OperatorEvent call) {
      calls.callReceived(call, leader, now, output);
    } else if (event instanceof ConfigurationEvent.ChangeProposed proposal) {
      calls.changeProposed(proposal, now, output);
    }
  }

  /**
   * Ends the lease when time goes backwards: it would last longer than the leader counts, and this
   * daemon would still serve under an old revision when a newer one is called in force.
   */
  private void checkClock(Instant now, Output output) {
    if (now.isBefore(latestTime)) {
      lease.invalidate();
      output.effect(new TraceEffect.Count("configuration_clock_steps", "", 1));
    }
    latestTime = now;
  }

  private void tick(Instant now, Output output) {
    boolean leads = extendLeaseAsLeader(now);
    if (!leads) {
      subscription(now).tick(now, output);
    }
    subscribers.tick(now);
    calls.tick(now, output);
    if (leads && inForce != null) {
      inForce.tick(now, output);
    }
    reportServing(now, output);
  }

  private boolean extendLeaseAsLeader(Instant now) {
    if (replica == null || !replica.leaderLease().holds(now)) {
      return false;
    }
    lease.extendTo(now.plus(settings.lease()));
    return true;
  }

  private void reportServing(Instant now, Output output) {
    boolean servesNow = mayServe(now);
    if (servesNow == serving) {
      return;
    }
    serving = servesNow;
    output.raise(new ConfigurationEvent.ServingChanged(serving));
    output.effect(
        new TraceEffect.LogLine(
            !serving,
            "configuration",
            serving
                ? "holds a lease at revision " + applied.revision()
                : "has no lease any more and refuses new work"));
  }

  private Subscription subscription(Instant now) {
    Subscription existing = subscription;
    if (existing == null) {
      existing =
          new Subscription(
              settings, applied, lease, subscribers, revisionApplier, this::candidates, now);
      subscription = existing;
    }
    return existing;
  }

  /** A replica asks the leader, since only the leader's lease says that no newer leader exists. */
  private List<String> candidates() {
    if (replica == null) {
      return sources.candidates();
    }
    List<String> names = new ArrayList<>(voters);
    names.remove(node);
    String leaderName = leader;
    if (leaderName != null && !leaderName.equals(node)) {
      // A control VM that was taken in later may lead though these settings don't name it yet. If
      // nobody asked it, no lease would be given and every entry would refuse work until the next
      // election. Entries still ask the replicas that they know, which pass its leases on.
      names.remove(leaderName);
      names.add(0, leaderName);
    }
    return names;
  }

  private void onMessage(String from, ConfigurationMessage message, Instant now, Output output) {
    if (message instanceof ConfigurationMessage.Renew renew) {
      subscribers.renewalReceived(from, renew, now, output);
    } else if (message instanceof ConfigurationMessage.LeaseGrant grant) {
      subscription(now).leaseGranted(grant, now, output);
    } else if (message instanceof ConfigurationMessage.Push push) {
      subscription(now).stepsPushed(push, now, output);
    } else if (message instanceof ConfigurationMessage.CopyChunk chunk) {
      subscription(now).chunkReceived(from, chunk, now, output);
    } else if (message instanceof ConfigurationMessage.CopyRequest request) {
      subscribers.copyRequested(from, request, now, output);
    } else if (message instanceof ConfigurationMessage.TryOther) {
      subscription(now).sourceLost(from, now, output);
    } else if (message instanceof ConfigurationMessage.OperatorCall call) {
      calls.callForwarded(call, leader, now, output);
    } else if (message instanceof ConfigurationMessage.OperatorAnswer answer) {
      calls.answerReceived(answer, output);
    }
  }

  private void onConsensus(ConsensusEvent event, Instant now, Output output) {
    if (event instanceof ConsensusEvent.SubmissionAnswered answered) {
      calls.submissionAnswered(answered, output);
    } else if (event instanceof ConsensusEvent.SubmissionFailed failed) {
      calls.submissionFailed(failed, output);
    } else if (event instanceof ConsensusEvent.CommandCommitted committed) {
      applyFromReplica(committed.group(), now, output);
    } else if (event instanceof ConsensusEvent.GroupRestored restored) {
      applyFromReplica(restored.group(), now, output);
    } else if (event instanceof ConsensusEvent.LeaderChanged changed
        && changed.group().equals(GroupId.CONFIGURATION)) {
      leaderChanged(changed, now);
    }
  }

  private void applyFromReplica(GroupId group, Instant now, Output output) {
    if (replica != null && group.equals(GroupId.CONFIGURATION)) {
      revisionApplier.apply(replica.machine().configuration(), now, output);
    }
  }

  private void leaderChanged(ConsensusEvent.LeaderChanged changed, Instant now) {
    leader = changed.node();
    if (inForce != null && node.equals(leader)) {
      inForce.leadershipGained(now);
    }
    subscription(now).refresh();
  }
}
