package org.skylarkfork.core.consensus;

import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.Part;
import org.skylarkfork.core.command.GroupId;
import org.skylarkfork.core.command.StateMachine;
import org.skylarkfork.core.event.ConsensusEvent;
import org.skylarkfork.core.event.Event;
import org.skylarkfork.core.event.LifecycleEvent;
import org.skylarkfork.core.event.PeerEvent;
import org.skylarkfork.core.event.StorageEvent;
import org.skylarkfork.core.message.RaftMessage;
import org.skylarkfork.core.message.RaftMessage.SubmitRedirect;
import org.skylarkfork.core.message.RaftMessage.SubmitRequest;

/**
 * The replicas that a daemon hosts, and the way for its commands to all groups.
 *
 * <p>The present time must come from a clock that doesn't jump, such as the wall clock at the start
 * plus the time since: the lease of a leader is measured with it. A time before an earlier one is
 * taken for the earlier one.
 */
public final class ConsensusPart implements Part {

  private final String node;
  private final Map<GroupId, RaftGroup> groups = new LinkedHashMap<>();
  private final SubmissionClient client;
  private Instant latest = Instant.EPOCH;

  /**
   * Makes the part; each hosted group starts with its {@code StorageEvent.Recovered}.
   *
   * @param node name of this daemon
   * @param setups the groups, those that this daemon only submits to included
   * @param settings times and bounds
   * @param codec the wire's codec
   * @param seed seed that no other daemon and no other start of this one has: disks and processes
   *     are told apart by numbers drawn from it
   */
  public ConsensusPart(
      String node, List<GroupSetup> setups, RaftSettings settings, GroupCodec codec, long seed) {
    this.node = node;
    UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(seed);
    this.client = new SubmissionClient(node, random.nextLong(), setups, settings);
    for (GroupSetup setup : setups) {
      StateMachine machine = setup.stateMachine();
      if (machine != null) {
        groups.put(setup.group(), new RaftGroup(setup, machine, node, settings, codec, random));
      }
    }
  }

  /** Returns the way to have commands agreed on. */
  public Submitter submitter() {
    return client;
  }

  /**
   * Returns whether this daemon leads the group and may answer from its state machine alone.
   *
   * @param group the group
   * @param now the present time
   * @return false also if the group isn't hosted here
   */
  public boolean holdsLease(GroupId group, Instant now) {
    RaftGroup hosted = groups.get(group);
    return hosted != null && hosted.holdsLease(now.isBefore(latest) ? latest : now);
  }

  /**
   * Returns a moment at which this daemon was certainly the group's leader and knew all that was
   * committed before, or {@code Instant.EPOCH} if it doesn't lead.
   *
   * <p>The moment is on this daemon's clock. It rests on answers of a majority to something sent at
   * that moment or later, not on leases, so it is right whatever clocks do.
   *
   * @param group the group
   */
  public Instant leadershipConfirmedAt(GroupId group) {
    RaftGroup hosted = groups.get(group);
    return hosted == null ? Instant.EPOCH : hosted.leadershipConfirmedAt(latest);
  }

  /** Returns the state of a hosted replica, or null if the group isn't hosted here. */
  public @Nullable GroupStatus status(GroupId group) {
    RaftGroup hosted = groups.get(group);
    return hosted == null ? null : hosted.status();
  }

  /** Returns the state of each hosted replica. */
  public List<GroupStatus> statuses() {
    List<GroupStatus> statuses = new ArrayList<>();
    for (RaftGroup group : groups.values()) {
      statuses.add(group.status());
    }
    return statuses;
  }

  @Override
  public void apply(Event event, Instant now, Output output) {
    if (now.isAfter(latest)) {
      latest = now;
    }
    EventContext context = new EventContext(node, latest, output);
    if (event instanceof LifecycleEvent.Tick) {
      tick(context);
    } else if (event instanceof LifecycleEvent.StopRequested) {
      groups.values().forEach(group -> group.prepareStop(context));
    } else if (event instanceof StorageEvent stored) {
      onStorage(stored, context);
    } else if (event instanceof PeerEvent.MessageReceived received) {
      onMessage(received, context);
    } else if (event instanceof ConsensusEvent.LeaderChanged change) {
      client.leaderChanged(change);
    }
  }

  private void tick(EventContext context) {
    for (RaftGroup group : groups.values()) {
      group.tick(context);
    }
    client.tick(context);
  }

  private void onStorage(StorageEvent event, EventContext context) {
    RaftGroup group = groups.get(event.group());
    if (group != null) {
      group.onStorage(event, context);
    }
  }

  private void onMessage(PeerEvent.MessageReceived received, EventContext context) {
    if (!(received.message() instanceof RaftMessage message)) {
      return;
    }
    String from = received.node();
    client.onMessage(from, message, context);
    RaftGroup group = groups.get(message.group());
    if (group != null) {
      group.onMessage(from, message, context);
    } else if (message instanceof SubmitRequest request) {
      context.send(
          from,
          new SubmitRedirect(request.group(), request.session(), request.submissionId(), null));
    }
  }
}
