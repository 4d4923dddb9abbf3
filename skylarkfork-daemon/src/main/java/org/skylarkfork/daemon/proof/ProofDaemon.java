package org.skylarkfork.daemon.proof;

import java.nio.file.Path;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.daemon.DeletedFolders;
import org.skylarkfork.runtime.loop.MonotonicClock;
import org.skylarkfork.runtime.node.DaemonNode;
import org.skylarkfork.runtime.settings.DaemonSettings;
import org.skylarkfork.runtime.transport.PeerFilter;

/** A daemon of the proof that can be crashed, cut off, wiped and started again. */
final class ProofDaemon {

  private final DaemonSettings settings;
  private final Consumer<String> broken;
  private final Set<String> cutOff = ConcurrentHashMap.newKeySet();
  private volatile @Nullable DaemonNode node;

  ProofDaemon(DaemonSettings settings, Consumer<String> broken) {
    this.settings = settings;
    this.broken = broken;
  }

  String name() {
    return settings.node();
  }

  boolean voter() {
    return settings.isVoter();
  }

  String callers() {
    return settings.host() + ":" + settings.callerPort();
  }

  String operators() {
    return settings.host() + ":" + settings.adminPort();
  }

  Path timeline() {
    return Objects.requireNonNull(settings.timelineFile());
  }

  boolean running() {
    return node != null;
  }

  /** Starts the daemon with what its folder holds. */
  void start() {
    DaemonNode made =
        new DaemonNode(
            settings,
            new MonotonicClock(InstantSource.system(), System::nanoTime),
            filter(),
            failure -> broken.accept(name() + " halted: " + failure));
    made.start();
    node = made;
  }

  private PeerFilter filter() {
    return new PeerFilter() {
      @Override
      public boolean sendsTo(String other) {
        return !cutOff.contains(other);
      }

      @Override
      public boolean receivesFrom(String other) {
        return !cutOff.contains(other);
      }
    };
  }

  /** Drops all frames from and to the nodes, without a trace. */
  void cutOffFrom(Set<String> nodes) {
    cutOff.addAll(nodes);
  }

  /** Lets all frames pass again. */
  void heal() {
    cutOff.clear();
  }

  /** Ends the daemon at once. */
  void crash() {
    DaemonNode ended = node;
    node = null;
    if (ended != null) {
      ended.close();
    }
  }

  /** Ends the daemon gracefully and tells whether every request was finished. */
  boolean stop(Duration limit) throws InterruptedException {
    DaemonNode ended = Objects.requireNonNull(node);
    boolean whole = ended.stop(limit);
    node = null;
    return whole;
  }

  /** Empties the data folder; the daemon must be down. */
  void wipe() {
    Path folder = Objects.requireNonNull(settings.dataFolder());
    DeletedFolders.delete(folder);
    if (!folder.toFile().mkdirs()) {
      throw new IllegalStateException("The folder " + folder + " can't be made.");
    }
  }

  boolean leads() {
    DaemonNode present = node;
    return present != null && present.leads().join();
  }

  boolean ready() {
    DaemonNode present = node;
    return present != null && present.ready().join();
  }

  int knownUpstreams() {
    DaemonNode present = node;
    return present == null ? 0 : present.knownUpstreams().join();
  }
}
