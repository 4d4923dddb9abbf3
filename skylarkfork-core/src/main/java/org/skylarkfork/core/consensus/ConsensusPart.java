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
 * Hosts a daemon's Raft replicas and submits the daemon's commands to all groups.
 *
 * <p>Leader leases are measured with the time passed to {@link #apply}, so it must come from a
 * clock without jumps, such as the wall clock at the start plus the elapsed time. A time before an
 * earlier one is replaced by the earlier one.
 */
public final class ConsensusPart implements Part {

  private final String node;
  private final Map<GroupId, RaftGroup> groups = new LinkedHashMap<>();
  private final SubmissionClient client;
  private final ActiveTime activeTime;
  private Instant latest = Instant.EPOCH;

  /**
   * Creates the part; each hosted group starts with its {@code StorageEvent.Recovered}.
   *
   * @param node name of this daemon
   * @param setups the groups, including those to which this daemon only submits commands
   * @param settings timeouts and limits
   * @param codec the wire's codec
   * @param seed random seed, different for each daemon and each start: ids of disks and processes
   *     are generated from it
   */
  public ConsensusPart(
      String node, List<GroupSetup> setups, RaftSettings settings, GroupCodec codec, long seed) {
    this.node = node;
    this.activeTime = new ActiveTime(settings.timeouts().heartbeat());
    UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(seed);
    this.client = new SubmissionClient(node, random.nextLong(), setups, settings);
    for (GroupSetup setup : setups) {
      StateMachine machine = setup.stateMachine();
      if (machine != null) {
        groups.put(
            setup.group(),
            new RaftGroup(setup, machine, node, settings, codec, activeTime, random));
      }
    }
  }

  /** Returns the submitter of commands to all groups. */
  public Submitter submitter() {
    return client;
  }

  /**
   * Returns whether this daemon is the group's leader and its lease permits local reads.
   *
   * @param group the group
   * @param now the current time
   * @return whether the lease is held; false if the group isn't hosted here
   */
  public boolean holdsLease(GroupId group, Instant now) {
    RaftGroup hosted = groups.get(group);
    return hosted != null && hosted.holdsLease(now.isBefore(latest) ? latest : now);
  }

  /**
   * Returns the latest time at which this daemon was confirmed as the group's leader and had all
   * entries committed before, or {@code Instant.EPOCH} if it isn't the leader.
   *
   * <p>The time is on this daemon's clock. It is based on responses of a majority to messages sent
   * at that time or later and not on leases, so it is correct regardless of clock errors.
   *
   * @param group the group
   */
  public Instant leadershipConfirmedAt(GroupId group) {
    RaftGroup hosted = groups.get(group);
    return hosted == null ? Instant.EPOCH : hosted.leadershipConfirmedAt(latest);
  }

  /** Returns the status of a hosted replica, or null if the group isn't hosted here. */
  public @Nullable GroupStatus status(GroupId group) {
    RaftGroup hosted = groups.get(group);
    return hosted == null ? null : hosted.status();
  }

  /** Returns the status of each hosted replica. */
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
    activeTime.tick(context.now());
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
