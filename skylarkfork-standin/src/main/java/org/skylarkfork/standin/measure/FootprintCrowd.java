package org.skylarkfork.standin.measure;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.skylarkfork.core.Reducer;
import org.skylarkfork.core.effect.Effect;
import org.skylarkfork.core.effect.PeerEffect;
import org.skylarkfork.core.event.Event;
import org.skylarkfork.core.event.LifecycleEvent;
import org.skylarkfork.core.event.PeerEvent;
import org.skylarkfork.core.membership.Seed;
import org.skylarkfork.runtime.codec.Codec;
import org.skylarkfork.runtime.loop.MonotonicClock;

/**
 * Many members in one thread. They reach each other in memory and daemons over real connections.
 */
final class FootprintCrowd implements AutoCloseable {

  private static final int FRAME_HEADER_BYTES = 5;
  private static final int ZONES = 14;

  /** Five times the daemons' own, so that one thread keeps up with 520 members. */
  private static final long TICK_NANOS = 5 * Reducer.TICK.toNanos();

  final AtomicLong bytesToDaemon = new AtomicLong();
  final AtomicLong bytesFromDaemon = new AtomicLong();
  private final Codec codec = new Codec();
  private final MonotonicClock clock;
  private final String counted;
  private final List<FootprintMember> members = new ArrayList<>();
  private final Map<Integer, FootprintMember> byPort = new HashMap<>();
  private final Queue<Delivery> arrived = new ConcurrentLinkedQueue<>();
  private final Deque<Delivery> local = new ArrayDeque<>();
  private final Thread thread = new Thread(this::run, "crowd");
  private volatile boolean stopped;

  /**
   * Makes and starts the members.
   *
   * @param count how many
   * @param cluster name of their cluster
   * @param seeds daemons to join
   * @param counted name of the daemon with which messages are counted
   * @param clock the clock
   */
  FootprintCrowd(
      int count, String cluster, List<Seed> seeds, String counted, MonotonicClock clock) {
    this.counted = counted;
    this.clock = clock;
    long incarnation = clock.instant().toEpochMilli();
    List<Seed> known = new ArrayList<>(seeds);
    for (int number = 0; number < count; number++) {
      FootprintMember[] self = new FootprintMember[1];
      FootprintMember member =
          new FootprintMember(
              number,
              cluster,
              "zone-" + number % ZONES,
              List.copyOf(known),
              incarnation,
              codec,
              event -> arrived.add(new Delivery(self[0], event)));
      self[0] = member;
      members.add(member);
      byPort.put(member.transport.port(), member);
      if (number == 0) {
        known.add(new Seed(member.name, FootprintMember.HOST, member.transport.port()));
      }
    }
    thread.setDaemon(true);
    thread.start();
  }

  /** Returns the first member as a seed for daemons. */
  Seed seed() {
    FootprintMember first = members.get(0);
    return new Seed(first.name, FootprintMember.HOST, first.transport.port());
  }

  private void run() {
    members.forEach(member -> apply(member, new LifecycleEvent.Started()));
    long next = System.nanoTime();
    while (!stopped) {
      members.forEach(member -> apply(member, new LifecycleEvent.Tick()));
      next = Math.max(next + TICK_NANOS, System.nanoTime());
      deliverUntil(next);
    }
  }

  private void deliverUntil(long end) {
    while (!stopped) {
      Delivery delivery = local.isEmpty() ? arrived.poll() : local.removeFirst();
      if (delivery != null && delivery.to() != null) {
        count(delivery.event());
        apply(delivery.to(), delivery.event());
      } else if (System.nanoTime() >= end) {
        return;
      } else {
        sleep();
      }
    }
  }

  private static void sleep() {
    try {
      TimeUnit.MILLISECONDS.sleep(1);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  private void count(Event event) {
    if (event instanceof PeerEvent.MessageReceived received && received.node().equals(counted)) {
      bytesFromDaemon.addAndGet(codec.toBytes(received.message()).length + FRAME_HEADER_BYTES);
    }
  }

  private void apply(FootprintMember member, Event event) {
    Instant now = clock.instant();
    for (Effect effect : member.apply(event, now)) {
      if (effect instanceof PeerEffect.LearnPeer learn) {
        member.ports.put(learn.node(), learn.port());
        if (!byPort.containsKey(learn.port())) {
          member.transport.execute(learn);
        }
      } else if (effect instanceof PeerEffect.SendToPeer send) {
        send(member, send);
      }
    }
  }

  private void send(FootprintMember from, PeerEffect.SendToPeer send) {
    FootprintMember to = byPort.get(from.ports.getOrDefault(send.node(), 0));
    if (to != null) {
      local.add(new Delivery(to, new PeerEvent.MessageReceived(from.name, send.message())));
      return;
    }
    if (send.node().equals(counted)) {
      bytesToDaemon.addAndGet(codec.toBytes(send.message()).length + FRAME_HEADER_BYTES);
    }
    from.transport.execute(send);
  }

  @Override
  public void close() {
    stopped = true;
  }

  private record Delivery(FootprintMember to, Event event) {}
}
