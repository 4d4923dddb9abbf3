package org.skylarkfork.standin.measure;

import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
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
import org.skylarkfork.runtime.codec.Codec;

/** Real configuration parts and replicas that exchange encoded messages in virtual time. */
final class ControlNetwork {

  static final Instant BEGIN = Instant.parse("2026-05-03T09:00:00Z");
  private static final int FRAME_HEADER_BYTES = 5;
  private static final long SYNC_MICROS = 4_000;
  private static final long NEAR_MICROS = 1_000;
  private static final long FAR_MICROS = 20_000;
  private static final long TICK_MICROS = Reducer.TICK.toNanos() / 1_000;

  final Map<String, ControlDaemon> daemons = new LinkedHashMap<>();
  final VirtualTime time = new VirtualTime(BEGIN);
  private final Codec codec = new Codec();
  private final UniformRandomProvider random;
  private final BiConsumer<ControlDaemon, Effect> others;

  /**
   * Makes and starts all daemons.
   *
   * @param voters number of voters, one a zone as far as there are zones
   * @param entries number of daemons that are no voters
   * @param zones number of zones
   * @param regions number of regions, between which messages take longer
   * @param operatorKeyHash hash of the operator's key
   * @param others takes effects other than messages and writes
   */
  ControlNetwork(
      int voters,
      int entries,
      int zones,
      int regions,
      String operatorKeyHash,
      BiConsumer<ControlDaemon, Effect> others) {
    this.others = others;
    random = RandomSource.XO_SHI_RO_256_PP.create(1);
    List<List<String>> byZone = new ArrayList<>();
    for (int zone = 0; zone < zones; zone++) {
      byZone.add(new ArrayList<>());
    }
    List<String> voterNames = new ArrayList<>();
    for (int number = 0; number < voters; number++) {
      voterNames.add("voter-" + number);
    }
    for (int number = 0; number < voters + entries; number++) {
      int zone = number % zones;
      String name =
          number < voters ? voterNames.get(number) : String.format("entry-%03d", number - voters);
      List<String> neighbours = byZone.get(zone);
      neighbours.add(name);
      daemons.put(
          name,
          new ControlDaemon(
              name,
              "region-" + zone % regions,
              voterNames,
              () -> neighbours,
              operatorKeyHash,
              codec,
              number));
    }
    daemons.values().forEach(this::start);
  }

  private void start(ControlDaemon daemon) {
    if (daemon.voter) {
      deliver(daemon, new StorageEvent.Recovered(GroupId.CONFIGURATION, null, null, List.of()));
    }
    time.after(random.nextLong(TICK_MICROS), () -> tick(daemon));
  }

  private void tick(ControlDaemon daemon) {
    deliver(daemon, new LifecycleEvent.Tick());
    time.after(TICK_MICROS, () -> tick(daemon));
  }

  /** Gives a daemon an event now. */
  void deliver(ControlDaemon daemon, Event event) {
    @Nullable PeerMessage message = null;
    int size = 0;
    for (Effect effect : daemon.apply(event, time.now())) {
      if (effect instanceof PeerEffect.SendToPeer send) {
        if (send.message() != message) {
          message = send.message();
          size = size(daemon, message);
        }
        send(daemon, send, size);
      } else if (effect instanceof StorageEffect.Persist persist) {
        daemon.syncs++;
        time.after(
            SYNC_MICROS,
            () -> deliver(daemon, new StorageEvent.Persisted(persist.group(), persist.sequence())));
      } else if (effect instanceof StorageEffect.SaveSnapshot save) {
        time.after(
            SYNC_MICROS,
            () ->
                deliver(
                    daemon, new StorageEvent.SnapshotSaved(save.group(), save.snapshot().index())));
      } else {
        others.accept(daemon, effect);
      }
    }
  }

  private int size(ControlDaemon daemon, PeerMessage message) {
    long start = ProcessorTime.nanos();
    int size = codec.toBytes(message).length + FRAME_HEADER_BYTES;
    daemon.nanos += ProcessorTime.nanos() - start;
    return size;
  }

  private void send(ControlDaemon from, PeerEffect.SendToPeer send, int size) {
    from.bytesOut += size;
    from.messagesOut++;
    ControlDaemon to = daemons.get(send.node());
    long delay = from.region.equals(to.region) ? NEAR_MICROS : FAR_MICROS;
    time.after(delay, () -> receive(from, to, send.message(), size));
  }

  private void receive(ControlDaemon from, ControlDaemon to, PeerMessage message, int size) {
    to.bytesIn += size;
    byte[] bytes = codec.toBytes(message);
    long start = ProcessorTime.nanos();
    PeerMessage read = codec.fromBytes(bytes, PeerMessage.class);
    to.nanos += ProcessorTime.nanos() - start;
    deliver(to, new PeerEvent.MessageReceived(from.name, read));
  }

  /** Returns the daemon that leads, or null. */
  @Nullable ControlDaemon leader() {
    return daemons.values().stream()
        .filter(daemon -> daemon.leads(time.now()))
        .findFirst()
        .orElse(null);
  }
}
