package org.skylarkfork.standin.measure;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.Reducer;
import org.skylarkfork.core.effect.Effect;
import org.skylarkfork.core.effect.PeerEffect;
import org.skylarkfork.core.event.Event;
import org.skylarkfork.core.event.LifecycleEvent;
import org.skylarkfork.core.event.PeerEvent;
import org.skylarkfork.core.event.UpstreamEvent;
import org.skylarkfork.core.membership.Seed;
import org.skylarkfork.core.message.PeerMessage;
import org.skylarkfork.core.upstream.Announcement;
import org.skylarkfork.core.upstream.LoadReport;
import org.skylarkfork.core.upstream.LoadedModel;
import org.skylarkfork.core.upstream.UpstreamKind;
import org.skylarkfork.runtime.codec.Codec;

/** Real membership and directory parts that exchange encoded messages in virtual time. */
final class MeasuredNetwork {

  private static final int ZONES_A_REGION = 3;
  private static final int FRAME_HEADER_BYTES = 4;
  private static final int DECODED_SHARE = 16;
  private static final int POOLS = 10;

  final List<MeasuredDaemon> daemons = new ArrayList<>();
  final List<EngineState> engines = new ArrayList<>();
  final UniformRandomProvider random;
  final Map<String, Long> bytesByType = new HashMap<>();
  Instant now = Instant.parse("2026-01-05T08:00:00Z");
  double loss;
  private final Codec codec = new Codec();
  private final Map<String, MeasuredDaemon> byHost = new HashMap<>();
  private final PriorityQueue<Delivery> queue =
      new PriorityQueue<>(Comparator.comparing(Delivery::at).thenComparingLong(Delivery::order));
  private @Nullable PeerMessage lastMessage;
  private int lastSize;
  private long order;

  MeasuredNetwork(int members, int upstreams, int zones, long seed) {
    random = RandomSource.XO_SHI_RO_256_PP.create(seed);
    List<Seed> seeds = new ArrayList<>();
    for (int i = 0; i < members; i++) {
      int zone = i % zones;
      MeasuredDaemon daemon =
          new MeasuredDaemon(i, "zone-" + zone, "region-" + zone / ZONES_A_REGION, seeds, i);
      daemons.add(daemon);
      byHost.put(daemon.self.host(), daemon);
      if (i < ZONES_A_REGION) {
        seeds.add(new Seed(daemon.self.name(), daemon.self.host(), daemon.self.framePort()));
      }
    }
    for (int i = 0; i < upstreams; i++) {
      engines.add(new EngineState(i, i % members, "zone-" + i % members % zones));
    }
    daemons.forEach(daemon -> apply(daemon, new LifecycleEvent.Started()));
  }

  void run(Duration time) {
    Instant end = now.plus(time);
    while (now.isBefore(end)) {
      Instant next = now.plus(Reducer.TICK);
      while (!queue.isEmpty() && !queue.peek().at().isAfter(next)) {
        Delivery delivery = queue.remove();
        now = delivery.at().isAfter(now) ? delivery.at() : now;
        deliver(delivery);
      }
      now = next;
      daemons.forEach(daemon -> apply(daemon, new LifecycleEvent.Tick()));
      engines.forEach(this::announce);
    }
  }

  void reset() {
    daemons.forEach(MeasuredDaemon::reset);
    bytesByType.clear();
  }

  private void announce(EngineState engine) {
    if (now.isBefore(engine.next)) {
      return;
    }
    MeasuredDaemon daemon = daemons.get(engine.entry);
    engine.running = random.nextInt(8);
    apply(daemon, new UpstreamEvent.Announced(engine.announcement()));
    Duration every = daemon.directory.announceInterval();
    boolean first = engine.next.equals(Instant.MIN);
    engine.next = now.plusMillis(first ? random.nextInt(1000) : every.toMillis());
  }

  private void apply(MeasuredDaemon daemon, Event event) {
    for (Effect effect : daemon.apply(event, now)) {
      if (effect instanceof PeerEffect.LearnPeer learn) {
        daemon.addresses.put(learn.node(), learn.host());
      } else if (effect instanceof PeerEffect.SendToPeer send) {
        send(daemon, send);
      }
    }
  }

  private void send(MeasuredDaemon from, PeerEffect.SendToPeer send) {
    int size = size(from, send.message());
    from.bytesOut += size;
    from.messagesOut++;
    bytesByType.merge(send.message().getClass().getSimpleName(), (long) size, Long::sum);
    MeasuredDaemon to = byHost.get(from.addresses.getOrDefault(send.node(), ""));
    if (to == null || random.nextDouble() < loss) {
      return;
    }
    PeerEvent.MessageReceived event =
        new PeerEvent.MessageReceived(from.self.name(), send.message());
    queue.add(new Delivery(now.plusMillis(1 + random.nextInt(5)), order++, to, event, size));
  }

  private int size(MeasuredDaemon from, PeerMessage message) {
    if (message != lastMessage) {
      long start = System.nanoTime();
      lastSize = codec.toBytes(message).length + FRAME_HEADER_BYTES;
      from.nanos += System.nanoTime() - start;
      lastMessage = message;
    }
    return lastSize;
  }

  private void deliver(Delivery delivery) {
    MeasuredDaemon to = delivery.to();
    to.bytesIn += delivery.size();
    if (random.nextInt(DECODED_SHARE) == 0) {
      // Decoding each message would slow the program; a share of them is timed and counted in full.
      byte[] bytes = codec.toBytes(delivery.event().message());
      long start = System.nanoTime();
      codec.fromBytes(bytes, PeerMessage.class);
      to.nanos += DECODED_SHARE * (System.nanoTime() - start);
    }
    apply(to, delivery.event());
  }

  private record Delivery(
      Instant at, long order, MeasuredDaemon to, PeerEvent.MessageReceived event, int size) {}

  /** An engine that announces itself. */
  static final class EngineState {
    final String id;
    final int number;
    final int entry;
    final String zone;
    Instant next = Instant.MIN;
    int running;
    int adapters;
    boolean leaving;

    EngineState(int number, int entry, String zone) {
      this.id = "engine-" + number;
      this.number = number;
      this.entry = entry;
      this.zone = zone;
    }

    Announcement announcement() {
      LoadedModel model =
          new LoadedModel("model-" + number % POOLS, "1", List.of("adapter-" + adapters));
      return new Announcement(
          id,
          1_767_000_000_000L,
          "10.9." + number / 250 + "." + number % 250,
          9000,
          zone,
          UpstreamKind.ENGINE,
          null,
          List.of(model),
          "mixed",
          8,
          new LoadReport(running, 0, 0.5, 100),
          true,
          leaving,
          false,
          List.of());
    }
  }
}
