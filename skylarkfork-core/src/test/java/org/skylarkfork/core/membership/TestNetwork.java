package org.skylarkfork.core.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.skylarkfork.core.Reducer;
import org.skylarkfork.core.effect.Effect;
import org.skylarkfork.core.effect.PeerEffect;
import org.skylarkfork.core.effect.TraceEffect;
import org.skylarkfork.core.event.Event;
import org.skylarkfork.core.event.LifecycleEvent;
import org.skylarkfork.core.event.PeerEvent;
import org.skylarkfork.core.event.UpstreamEvent;

/**
 * Simulates several daemons in virtual time, with seeded delay and loss, isolated hosts and slow
 * processes.
 */
public final class TestNetwork {

  public static final Instant START = Instant.parse("2026-01-05T08:00:00Z");
  public static final List<String> ZONES = List.of("utrecht-a", "utrecht-b", "amersfoort");

  public final List<TestDaemon> daemons = new ArrayList<>();
  public final UniformRandomProvider random;
  public Instant now = START;
  public double loss;
  final List<TestUpstream> upstreams = new ArrayList<>();
  private final Set<String> partitionedHosts = new HashSet<>();
  private final Set<String> isolate = new HashSet<>();
  private final PriorityQueue<Delivery> queue =
      new PriorityQueue<>(Comparator.comparing(Delivery::at).thenComparingLong(Delivery::order));
  private long order;

  /** Creates a network without daemons. */
  public TestNetwork(long seed) {
    random = RandomSource.XO_SHI_RO_256_PP.create(seed);
  }

  /** Starts entries 1 to n, of which the first two are seeds, and runs until they have joined. */
  public TestNetwork withEntries(int count) {
    for (int i = 1; i <= count; i++) {
      start(i, 1);
    }
    run(Duration.ofSeconds(15));
    return this;
  }

  /** Starts an entry at its default address. */
  public TestDaemon start(int number, long incarnation) {
    return start("entry-" + number, "127.0.0." + number, number, incarnation);
  }

  /** Starts an entry at the given address. */
  public TestDaemon start(String name, String host, int number, long incarnation) {
    String zone = ZONES.get(number % ZONES.size());
    List<String> roles = List.of(Member.ENTRY);
    Member self =
        new Member(
            name,
            host,
            7000,
            8080,
            9090,
            zone,
            "nl-mid",
            roles,
            1,
            incarnation,
            0,
            ServingState.NOT_SERVING);
    List<Seed> seeds =
        List.of(new Seed("entry-1", "127.0.0.1", 7000), new Seed("entry-2", "127.0.0.2", 7000));
    TestDaemon daemon = new TestDaemon(self, seeds, random.nextLong());
    daemons.add(daemon);
    apply(daemon, new LifecycleEvent.Started());
    return daemon;
  }

  /** Ends a process immediately, without a message to the others. */
  public void kill(TestDaemon daemon) {
    daemon.running = false;
    daemons.remove(daemon);
  }

  /**
   * Drops all messages to and from a host without an error at either end, or stops dropping them.
   */
  public void isolate(String host, boolean isCut) {
    if (isCut) {
      isolate.add(host);
    } else {
      isolate.remove(host);
    }
  }

  /** Drops all messages between these hosts and the others; an empty list ends the partition. */
  void partition(List<String> hosts) {
    partitionedHosts.clear();
    partitionedHosts.addAll(hosts);
  }

  TestUpstream startUpstream(String id, long incarnation, int port, int entry) {
    TestUpstream upstream = new TestUpstream(id, incarnation, port, entry);
    upstreams.add(upstream);
    return upstream;
  }

  /** Advances virtual time and delivers messages and ticks. */
  public void run(Duration time) {
    Instant end = now.plus(time);
    while (now.isBefore(end)) {
      Instant next = now.plus(Reducer.TICK);
      while (!queue.isEmpty() && !queue.peek().at().isAfter(next)) {
        Delivery delivery = queue.poll();
        now = delivery.at().isAfter(now) ? delivery.at() : now;
        deliver(delivery);
      }
      now = next;
      for (TestDaemon daemon : List.copyOf(daemons)) {
        if (!now.isBefore(daemon.stalledUntil)) {
          apply(daemon, new LifecycleEvent.Tick());
        }
      }
      upstreams.forEach(this::announce);
    }
  }

  /** Applies an event to a daemon and executes the resulting effects. */
  public void apply(TestDaemon daemon, Event event) {
    if (!daemon.running) {
      return;
    }
    for (Effect effect : daemon.reducer.apply(event, now)) {
      execute(daemon, effect);
    }
  }

  /**
   * Sends an upstream's announcement when it is due, and moves on to the next entry if one is
   * unreachable.
   */
  private void announce(TestUpstream upstream) {
    if (now.isBefore(upstream.nextAnnouncement)) {
      return;
    }
    TestDaemon daemon = daemons.get(upstream.entry % daemons.size());
    if (isolate.contains(daemon.self.host()) || now.isBefore(daemon.stalledUntil)) {
      upstream.entry++;
      upstream.nextAnnouncement = now.plusMillis(500);
      return;
    }
    apply(daemon, new UpstreamEvent.Announced(upstream.announcement()));
    upstream.nextAnnouncement = now.plus(daemon.directory.announceInterval());
  }

  private void execute(TestDaemon daemon, Effect effect) {
    if (effect instanceof PeerEffect.LearnPeer learn) {
      daemon.addressBook.put(learn.node(), learn.host());
    } else if (effect instanceof PeerEffect.ForgetPeer forget) {
      daemon.addressBook.remove(forget.node());
    } else if (effect instanceof PeerEffect.SendToPeer send) {
      send(daemon, send);
    } else if (effect instanceof TraceEffect.LogLine line) {
      daemon.recordWarning(line);
    }
  }

  private void send(TestDaemon from, PeerEffect.SendToPeer send) {
    String to = from.addressBook.get(send.node());
    boolean partitioned =
        to != null && partitionedHosts.contains(to) != partitionedHosts.contains(from.self.host());
    if (to == null
        || partitioned
        || isolate.contains(from.self.host())
        || random.nextDouble() < loss) {
      return;
    }
    Duration delay = Duration.ofMillis(1 + random.nextInt(5)).plus(from.sendDelay);
    PeerEvent event = new PeerEvent.MessageReceived(from.self.name(), send.message());
    queue.add(new Delivery(now.plus(delay), order++, to, send.node(), event));
  }

  private void deliver(Delivery delivery) {
    if (isolate.contains(delivery.host())) {
      return;
    }
    for (TestDaemon daemon : List.copyOf(daemons)) {
      if (!daemon.self.host().equals(delivery.host())) {
        continue;
      }
      if (now.isBefore(daemon.stalledUntil)) {
        queue.add(
            new Delivery(
                daemon.stalledUntil, order++, delivery.host(), delivery.name(), delivery.event()));
      } else if (daemon.self.name().equals(delivery.name())) {
        apply(daemon, delivery.event());
      }
    }
  }

  private record Delivery(Instant at, long order, String host, String name, Event event) {}
}
