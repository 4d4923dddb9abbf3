package org.skylarkfork.standin.measure;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.Part;
import org.skylarkfork.core.Reducer;
import org.skylarkfork.core.command.GroupId;
import org.skylarkfork.core.command.StateMachine;
import org.skylarkfork.core.consensus.ConsensusPart;
import org.skylarkfork.core.consensus.GroupSetup;
import org.skylarkfork.core.consensus.GroupStatus;
import org.skylarkfork.core.consensus.RaftSettings;
import org.skylarkfork.core.effect.Effect;
import org.skylarkfork.core.effect.PeerEffect;
import org.skylarkfork.core.effect.StorageEffect;
import org.skylarkfork.core.event.PeerEvent;
import org.skylarkfork.core.message.PeerMessage;
import org.skylarkfork.runtime.codec.Codec;
import org.skylarkfork.runtime.loop.Journal;
import org.skylarkfork.runtime.loop.MonotonicClock;
import org.skylarkfork.runtime.loop.ReducerLoop;
import org.skylarkfork.runtime.storage.DiskStorage;
import org.skylarkfork.runtime.storage.FileDisk;
import org.skylarkfork.runtime.storage.StorageSettings;

/** A replica with a real loop and disk, or a daemon that only submits; messages are encoded. */
final class GroupNode implements AutoCloseable {

  final String name;
  final ConsensusPart consensus;
  final AtomicLong bytesOut = new AtomicLong();
  final AtomicLong messagesOut = new AtomicLong();
  private final GroupId group;
  private final Map<String, GroupNode> others;
  private final Codec codec = new Codec();
  private final ReducerLoop loop;
  private final @Nullable DiskStorage storage;
  private final AtomicLong decoding = new AtomicLong();
  private final AtomicLong decodedForOthers = new AtomicLong();
  private volatile long loopNanos;

  /**
   * Makes a node.
   *
   * @param name its name
   * @param group the group and its founders; with a machine the node hosts a replica
   * @param others all nodes by name
   * @param folder data folder, or null for a node without a replica
   * @param clock the clock of all nodes
   * @param failure keeps the first failure
   */
  GroupNode(
      String name,
      GroupSetup group,
      Map<String, GroupNode> others,
      @Nullable Path folder,
      MonotonicClock clock,
      AtomicReference<Throwable> failure) {
    this.name = name;
    this.group = group.group();
    this.others = others;
    long seed = UUID.randomUUID().getMostSignificantBits();
    consensus =
        new ConsensusPart(
            name, List.of(group), RaftSettings.defaults(), new MeasureCodec(codec), seed);
    loop =
        new ReducerLoop(
            clock, this::carryOut, Journal.NONE, thrown -> failure.compareAndSet(null, thrown));
    storage =
        folder == null
            ? null
            : new DiskStorage(
                new StorageSettings(
                    folder, StorageSettings.DEFAULT_SEGMENT_BYTES, UUID.randomUUID().toString()),
                codec,
                new FileDisk(),
                loop::submit);
  }

  /** Returns a setup of the group. */
  static GroupSetup setup(GroupId group, List<String> voters, @Nullable StateMachine machine) {
    return new GroupSetup(group, voters, machine);
  }

  void start(List<Part> more) {
    if (storage != null) {
      storage.recover(group);
    }
    List<Part> parts = new ArrayList<>(more);
    parts.add(0, consensus);
    loop.start(new Reducer(parts));
  }

  private void carryOut(Effect effect) {
    if (effect instanceof PeerEffect.SendToPeer send) {
      send(send);
    } else if (effect instanceof StorageEffect write && storage != null) {
      storage.execute(write);
    }
    loopNanos = ProcessorTime.nanos();
  }

  /** Decodes on the sender's thread, but counts that time as the receiver's. */
  private void send(PeerEffect.SendToPeer send) {
    byte[] bytes = codec.toBytes(send.message());
    bytesOut.addAndGet(bytes.length);
    messagesOut.incrementAndGet();
    GroupNode to = others.get(send.node());
    if (to == null) {
      return;
    }
    long start = ProcessorTime.nanos();
    PeerMessage read = codec.fromBytes(bytes, PeerMessage.class);
    long took = ProcessorTime.nanos() - start;
    decodedForOthers.addAndGet(took);
    to.decoding.addAndGet(took);
    to.loop.submit(new PeerEvent.MessageReceived(name, read));
  }

  /** Returns processor time of the loop with encoding and decoding, without the disk's thread. */
  long nanos() {
    return loopNanos - decodedForOthers.get() + decoding.get();
  }

  long syncs() {
    return storage == null ? 0 : storage.syncs();
  }

  GroupStatus status() {
    return loop.ask(now -> consensus.status(group)).join();
  }

  boolean leads() {
    return loop.ask(now -> consensus.holdsLease(group, now)).join();
  }

  @Override
  public void close() {
    loop.close();
    if (storage != null) {
      storage.close();
    }
  }
}
