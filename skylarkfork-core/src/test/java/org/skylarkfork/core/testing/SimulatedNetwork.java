package org.skylarkfork.core.testing;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.Reducer;
import org.skylarkfork.core.command.GroupId;
import org.skylarkfork.core.effect.Effect;
import org.skylarkfork.core.effect.PeerEffect;
import org.skylarkfork.core.effect.StorageEffect;
import org.skylarkfork.core.event.Event;
import org.skylarkfork.core.event.LifecycleEvent;
import org.skylarkfork.core.event.PeerEvent;
import org.skylarkfork.core.event.StorageEvent;
import org.skylarkfork.core.message.PeerMessage;

/**
 * Simulates several daemons in one test, with virtual time and with message delays and faults that
 * are determined by a seed.
 *
 * <p>Carries out messages to peers and storage effects; passes all other effects to a listener.
 */
public final class SimulatedNetwork {

  /** Creates the reducer of a daemon at each of its starts. */
  @FunctionalInterface
  public interface ReducerFactory {

    /** Returns a new reducer; the seed differs at each start. */
    Reducer start(long seed);
  }

  /**
   * Marks a delivery that a later start of the daemon receives too, such as a message in flight.
   */
  private static final int ANY_START = -1;

  private final UniformRandomProvider random;
  private final Map<String, Node> nodes = new LinkedHashMap<>();
  private final PriorityQueue<Delivery> queue =
      new PriorityQueue<>(Comparator.comparing(Delivery::at).thenComparing(Delivery::order));
  private final Set<String> blockedLinks = new HashSet<>();
  private BiConsumer<String, Effect> listener = (node, effect) -> {};
  private MessageListener messageListener = (from, to, message) -> {};
  private Runnable setCheck = () -> {};
  private Instant now = Instant.parse("2026-01-01T00:00:00Z");
  private long order;
  private double loss;
  private double duplication;
  private int minDelayMillis = 1;
  private int maxDelayMillis = 2;
  private int maxSyncMillis = 3;

  /** Creates a network without daemons; the same seed gives the same run. */
  public SimulatedNetwork(long seed) {
    this.random = RandomSource.XO_SHI_RO_256_PP.create(seed);
  }

  /** Adds a stopped daemon with an empty disk for each group that it hosts. */
  public void add(String name, List<GroupId> groups, ReducerFactory boot) {
    nodes.put(name, new Node(name, groups, boot));
  }

  /**
   * Sets the fractions of messages that are lost and duplicated, and the maximum delay of a message
   * in milliseconds.
   */
  public void setMessageFaults(double lossRate, double duplicationRate, int delayLimitMillis) {
    loss = lossRate;
    duplication = duplicationRate;
    maxDelayMillis = delayLimitMillis;
  }

  /** Sets the minimum delay of a message in milliseconds, at most the maximum. */
  public void setMinDelayMillis(int millis) {
    minDelayMillis = millis;
  }

  /** Sets the maximum duration of a sync, in milliseconds. */
  public void setMaxSyncMillis(int millis) {
    maxSyncMillis = millis;
  }

  /**
   * Sets the listener that receives all effects other than messages to peers and storage effects.
   */
  public void setEffectListener(BiConsumer<String, Effect> effects) {
    listener = effects;
  }

  /** Receives each message to a peer, also those that are lost. */
  public interface MessageListener {
    /** Handles a message on its way from one node to another. */
    void onMessage(String from, String to, PeerMessage message);
  }

  /** Sets the listener that receives each message to a peer. */
  public void setMessageListener(MessageListener messages) {
    messageListener = messages;
  }

  /** Sets a check that runs after each event. */
  public void setCheck(Runnable afterEvent) {
    setCheck = afterEvent;
  }

  /** Returns the current time of the network, which is that of daemons without a clock offset. */
  public Instant now() {
    return now;
  }

  /** Returns the source of randomness of this run. */
  public UniformRandomProvider random() {
    return random;
  }

  /** Returns whether a daemon is running. */
  public boolean isUp(String name) {
    return nodes.get(name).reducer != null;
  }

  /** Starts a daemon with the content of its disk. */
  public void start(String name) {
    Node node = nodes.get(name);
    node.starts++;
    node.reducer = node.boot.start(random.nextLong());
    node.disks.forEach(
        (group, disk) -> {
          if (disk.isLogSetAside()) {
            apply(node, new StorageEvent.LogSetAside(group));
          }
          apply(node, disk.recover());
        });
    apply(node, new LifecycleEvent.Started());
    schedule(node, Reducer.TICK, node.starts, () -> tick(node));
  }

  /** Kills a daemon; a random number of its oldest unsynced writes survives. */
  public void crash(String name) {
    Node node = nodes.get(name);
    node.reducer = null;
    node.suspended = false;
    node.deferred.clear();
    for (SimulatedDisk disk : node.disks.values()) {
      disk.crash(random.nextInt(disk.unsynced() + 1));
    }
  }

  /** Kills a daemon and erases its disk. */
  public void crashAndWipe(String name) {
    crash(name);
    nodes.get(name).format();
  }

  /** Kills a daemon whose next start finds its logs damaged and sets them aside. */
  public void crashAndSetLogsAside(String name) {
    crash(name);
    nodes.get(name).disks.values().forEach(SimulatedDisk::setLogAside);
  }

  /**
   * Sets the offset of a daemon's clock from the network's time.
   *
   * @param name name of the daemon, which must not be running yet, since its clock must not jump
   * @param offset offset that is added to the network's time
   */
  public void setClockOffset(String name, Duration offset) {
    nodes.get(name).clockOffset = offset;
  }

  /** Returns the current time on a daemon's own clock. */
  public Instant timeOf(String name) {
    return now.plus(nodes.get(name).clockOffset);
  }

  /** Suspends a daemon: its events are deferred while its clock continues. */
  public void suspend(String name) {
    nodes.get(name).suspended = true;
  }

  /** Resumes a suspended daemon, which then receives all deferred events at once. */
  public void resume(String name) {
    Node node = nodes.get(name);
    node.suspended = false;
    for (Delivery waited : node.deferred) {
      queue.add(new Delivery(now, order++, node, waited.starts, waited.action));
    }
    node.deferred.clear();
  }

  /** Returns whether a daemon is suspended. */
  public boolean isSuspended(String name) {
    return nodes.get(name).suspended;
  }

  /** Makes all later writes of a daemon fail. */
  public void failWrites(String name) {
    nodes.get(name).writesFail = true;
  }

  /** Drops all messages between two daemons without connection errors. */
  public void disconnect(String one, String other) {
    blockedLinks.add(one + ">" + other);
    blockedLinks.add(other + ">" + one);
  }

  /** Drops all messages between a daemon and all others without connection errors. */
  public void isolate(String name) {
    for (String other : nodes.keySet()) {
      disconnect(name, other);
    }
  }

  /** Returns whether messages from one daemon reach another one. */
  public boolean isReachable(String from, String to) {
    return !blockedLinks.contains(from + ">" + to);
  }

  /** Reconnects all disconnected daemons. */
  public void reconnectAll() {
    blockedLinks.clear();
  }

  /** Applies an event to a daemon if it is running. */
  public void inject(String name, Event event) {
    apply(nodes.get(name), event);
  }

  /** Advances the time. */
  public void run(Duration time) {
    runUntil(time, () -> false);
  }

  /**
   * Advances the time until a condition holds or the limit is reached; returns whether the
   * condition holds.
   */
  public boolean runUntil(Duration limit, BooleanSupplier condition) {
    Instant end = now.plus(limit);
    while (!condition.getAsBoolean()) {
      Delivery next = queue.peek();
      if (next == null || next.at.isAfter(end)) {
        now = end;
        return condition.getAsBoolean();
      }
      queue.remove();
      now = next.at;
      deliver(next);
    }
    return true;
  }

  private void deliver(Delivery delivery) {
    if (delivery.node.suspended) {
      delivery.node.deferred.add(delivery);
      return;
    }
    boolean sameStart = delivery.starts == ANY_START || delivery.starts == delivery.node.starts;
    if (delivery.node.reducer != null && sameStart) {
      delivery.action.run();
    }
  }

  private void tick(Node node) {
    schedule(node, Reducer.TICK, node.starts, () -> tick(node));
    apply(node, new LifecycleEvent.Tick());
  }

  private StorageEvent sync(Node node, SimulatedDisk disk) {
    if (node.writesFail) {
      return new StorageEvent.Failed(disk.recover().group(), "no space left on device");
    }
    return disk.sync();
  }

  private void apply(Node node, Event event) {
    if (node.reducer == null) {
      return;
    }
    for (Effect effect : node.reducer.apply(event, now.plus(node.clockOffset))) {
      execute(node, effect);
    }
    setCheck.run();
  }

  private void execute(Node node, Effect effect) {
    if (effect instanceof PeerEffect.SendToPeer send) {
      send(node, send.node(), send.message());
    } else if (effect instanceof StorageEffect.Persist write) {
      write(node, write.group(), write);
    } else if (effect instanceof StorageEffect.SaveSnapshot write) {
      write(node, write.group(), write);
    } else {
      listener.accept(node.name, effect);
    }
  }

  private void send(Node from, String to, PeerMessage message) {
    messageListener.onMessage(from.name, to, message);
    Node target = nodes.get(to);
    boolean lost = random.nextDouble() < loss || blockedLinks.contains(from.name + ">" + to);
    if (target == null || lost) {
      return;
    }
    int copies = random.nextDouble() < duplication ? 2 : 1;
    for (int i = 0; i < copies; i++) {
      Duration delay =
          Duration.ofMillis(minDelayMillis + random.nextInt(maxDelayMillis - minDelayMillis + 1));
      Event event = new PeerEvent.MessageReceived(from.name, message);
      schedule(target, delay, ANY_START, () -> apply(target, event));
    }
  }

  private void write(Node node, GroupId group, StorageEffect effect) {
    SimulatedDisk disk = node.disks.get(group);
    disk.write(effect);
    Instant synced = now.plusMillis(1 + random.nextInt(maxSyncMillis));
    node.lastSync = node.lastSync.isAfter(synced) ? node.lastSync : synced;
    Duration delay = Duration.between(now, node.lastSync);
    schedule(node, delay, node.starts, () -> apply(node, sync(node, disk)));
  }

  private void schedule(Node node, Duration delay, int starts, Runnable action) {
    queue.add(new Delivery(now.plus(delay), order++, node, starts, action));
  }

  private static final class Node {
    private final String name;
    private final List<GroupId> groups;
    private final ReducerFactory boot;
    private final Map<GroupId, SimulatedDisk> disks = new LinkedHashMap<>();
    private @Nullable Reducer reducer;
    private Instant lastSync = Instant.EPOCH;
    private int starts;
    private boolean writesFail;
    private boolean suspended;
    private Duration clockOffset = Duration.ZERO;
    private final List<Delivery> deferred = new ArrayList<>();

    private Node(String name, List<GroupId> groups, ReducerFactory boot) {
      this.name = name;
      this.groups = groups;
      this.boot = boot;
      format();
    }

    private void format() {
      writesFail = false;
      for (GroupId group : groups) {
        disks.put(group, new SimulatedDisk(group));
      }
    }
  }

  private record Delivery(Instant at, long order, Node node, int starts, Runnable action) {}
}
