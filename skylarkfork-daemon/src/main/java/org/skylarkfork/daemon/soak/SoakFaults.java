package org.skylarkfork.daemon.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.runtime.relay.RelayAdmin;

/** Injects faults into processes, connections and upstreams, in an order drawn from the seed. */
final class SoakFaults {

  private static final int KINDS = 16;

  /** Timeout until the group tolerates the loss of a disk, once all processes run again. */
  private static final Duration LONGEST_REPAIR = Duration.ofSeconds(20);

  private static final long REPAIR_POLL_MILLIS = 150;

  private static final long LONGEST_STOP_SECONDS = 20;

  /** Longest series of signals, and the time in which they are sent, in milliseconds. */
  private static final int MAX_SIGNALS = 5;

  private static final long SIGNALS_MILLIS = 1000;
  private static final long LOG_POLL_MILLIS = 5;
  private static final int MAX_LOG_POLLS = 4000;

  private final SoakSystem system;
  private final UniformRandomProvider random;
  private final List<Thread> restarts = new CopyOnWriteArrayList<>();
  private final List<String> told = new CopyOnWriteArrayList<>();
  private final List<String> findings;
  private final SoakOperator operator;
  private final GroupWitness witness;

  /** Losses of disks that were drawn and wait until the group tolerates them. */
  private final Deque<DiskLoss> losses = new ArrayDeque<>();

  private int disksLost;

  SoakFaults(
      SoakSystem system,
      UniformRandomProvider random,
      SoakOperator operator,
      List<String> findings) {
    this.system = system;
    this.random = random;
    this.operator = operator;
    this.findings = findings;
    this.witness = new GroupWitness(system.controls().size());
  }

  /** A control VM that is to lose its disk, and its downtime in milliseconds. */
  private record DiskLoss(int control, long millis) {}

  List<String> told() {
    return List.copyOf(told);
  }

  /** Returns the number of lost disks. */
  int disksLost() {
    return disksLost;
  }

  /** Returns the number of disks whose drawn loss the group never tolerated. */
  int disksSpared() {
    return losses.size();
  }

  /** Injects a fault, which may overlap with later ones. */
  void strike() throws IOException, InterruptedException {
    loseDiskIfBorne();
    long millis = 200 + random.nextLong(2300);
    switch (random.nextInt(KINDS)) {
      case 0 -> kill(List.of(pick(system.controls())), millis);
      case 1 -> kill(List.of(pick(system.entries())), millis);
      case 2 -> kill(system.controls(), 50 + random.nextLong(800));
      case 3 -> kill(all(), 50 + random.nextLong(800));
      case 4 -> pause(pick(system.controls()), millis);
      case 5 -> pause(pick(system.entries()), millis);
      case 6 -> stop(pick(system.entries()));
      case 7 -> {
        losses.add(new DiskLoss(random.nextInt(system.controls().size()), millis));
        loseDiskIfBorne();
      }
      case 8 -> disturb(system.callerProxies(), millis);
      case 9 -> disturb(system.upstreamProxies(), millis);
      case 10 -> hangUp(pick(all()));
      case 11 -> restartAndSignal(pick(all()), "HUP");
      case 12 -> restartAndSignal(pick(all()), "TERM");
      case 13 -> tearLog(pick(system.controls()), millis);
      case 14 -> restartOnUsedPort(pick(all()));
      default -> upstream(millis);
    }
  }

  private List<RelayProcess> all() {
    List<RelayProcess> all = new ArrayList<>(system.controls());
    all.addAll(system.entries());
    return all;
  }

  private <T> T pick(List<T> from) {
    return from.get(random.nextInt(from.size()));
  }

  private void tell(String what) {
    told.add(Instant.now() + " " + what);
  }

  /** Runs an action after a delay, concurrently with other faults. */
  private void later(long millis, SoakThreads.Work work) {
    restarts.add(
        SoakThreads.start(
            "fault",
            () -> {
              try {
                TimeUnit.MILLISECONDS.sleep(millis);
                work.run();
              } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
              }
            }));
  }

  private void kill(List<RelayProcess> struck, long millis)
      throws IOException, InterruptedException {
    for (RelayProcess process : struck) {
      tell("kill " + process.name() + " for " + millis + " ms");
      process.kill();
      system.backoffs().onEntryDisturbed(process.name());
    }
    later(millis, () -> system.startAll(struck));
  }

  private void pause(RelayProcess process, long millis) throws IOException, InterruptedException {
    tell("pause " + process.name() + " for " + millis + " ms");
    process.signal("STOP");
    system.backoffs().onEntryDisturbed(process.name());
    later(millis, () -> resume(process));
  }

  private void resume(RelayProcess process) throws IOException {
    try {
      process.signal("CONT");
      system.backoffs().onEntryDisturbed(process.name());
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  private void stop(RelayProcess process) throws IOException, InterruptedException {
    tell("stop " + process.name());
    Process told = process.terminate();
    system.backoffs().onEntryDisturbed(process.name());
    later(0, () -> awaitStop(process, told));
  }

  /** Sends a series of SIGHUP to a process whose main method has begun. */
  private void hangUp(RelayProcess process) {
    int signals = 1 + random.nextInt(MAX_SIGNALS);
    tell("hang up " + process.name() + " " + signals + " times");
    for (int number = 0; number < signals; number++) {
      later(random.nextLong(SIGNALS_MILLIS), () -> signalIfBegun(process, "HUP"));
    }
  }

  /** Kills a process, and signals its successor at random moments from the first log line on. */
  private void restartAndSignal(RelayProcess process, String signal)
      throws IOException, InterruptedException {
    long millis = random.nextLong(SIGNALS_MILLIS);
    final int signals = signal.equals("TERM") ? 1 : 1 + random.nextInt(MAX_SIGNALS);
    tell("restart " + process.name() + " and send " + signal + " " + millis + " ms after its log");
    process.kill();
    system.backoffs().onEntryDisturbed(process.name());
    later(
        0,
        () -> {
          system.startAll(List.of(process));
          for (int number = 0; number < signals; number++) {
            awaitLog(process, millis * (number + 1) / signals);
            signalIfBegun(process, signal);
          }
        });
  }

  private void awaitLog(RelayProcess process, long millis) throws IOException {
    try {
      for (int polls = 0; polls < MAX_LOG_POLLS && !process.hasLogged(); polls++) {
        TimeUnit.MILLISECONDS.sleep(LOG_POLL_MILLIS);
      }
      TimeUnit.MILLISECONDS.sleep(millis);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  private void signalIfBegun(RelayProcess process, String signal) throws IOException {
    try {
      if (!process.hasLogged()) {
        return;
      }
      if (signal.equals("TERM")) {
        awaitStop(process, process.terminate());
      } else {
        process.signal(signal);
      }
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  private void tearLog(RelayProcess process, long millis) throws IOException, InterruptedException {
    tell("tear the log of " + process.name() + ", down for " + millis + " ms");
    process.tearLog(random.nextDouble());
    later(millis, () -> system.startAll(List.of(process)));
  }

  /** Kills a process, and starts it while another one uses a port of it. */
  private void restartOnUsedPort(RelayProcess process) throws IOException, InterruptedException {
    int port = process.ports().get(random.nextInt(process.ports().size()));
    long millis = random.nextLong(SIGNALS_MILLIS);
    tell("restart " + process.name() + " while port " + port + " is in use for " + millis + " ms");
    process.kill();
    system.backoffs().onEntryDisturbed(process.name());
    later(
        0,
        () -> {
          try (ServerSocket user = new ServerSocket()) {
            user.setReuseAddress(true);
            user.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
            system.startAll(List.of(process));
            awaitLog(process, millis);
          }
        });
  }

  private void awaitStop(RelayProcess process, @Nullable Process told) throws IOException {
    try {
      if (told != null && !told.waitFor(LONGEST_STOP_SECONDS, TimeUnit.SECONDS)) {
        findings.add(process.name() + " didn't end after SIGTERM");
      }
      system.startAll(List.of(process));
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  private void loseDiskIfBorne() throws IOException, InterruptedException {
    DiskLoss loss = losses.peekFirst();
    if (loss == null) {
      return;
    }
    List<RelayAdmin.@Nullable Group> said = operator.groups();
    if (!witness.bearsLoss(said)) {
      return;
    }
    losses.removeFirst();
    disksLost++;
    RelayProcess process = system.controls().get(loss.control);
    tell("wipe " + process.name() + " for " + loss.millis + " ms; the control VMs said " + said);
    witness.lost(loss.control);
    process.loseDisk();
    later(loss.millis, () -> system.startAll(List.of(process)));
  }

  private void disturb(List<LoopbackProxy> proxies, long millis) {
    LoopbackProxy proxy = pick(proxies);
    onProxyDisturbed(proxy);
    if (random.nextInt(4) == 0) {
      tell("reset connections of a proxy");
      proxy.reset();
      return;
    }
    LoopbackProxy.Mode mode =
        LoopbackProxy.Mode.values()[1 + random.nextInt(LoopbackProxy.Mode.values().length - 1)];
    tell("proxy " + mode + " for " + millis + " ms");
    proxy.mode(mode);
    later(
        millis,
        () -> {
          proxy.mode(LoopbackProxy.Mode.PASS);
          proxy.reset();
          onProxyDisturbed(proxy);
        });
  }

  private void onProxyDisturbed(LoopbackProxy proxy) {
    int upstream = system.upstreamProxies().indexOf(proxy);
    if (upstream >= 0) {
      system.backoffs().onUpstreamDisturbed(upstream);
    }
  }

  private void upstream(long millis) {
    SoakUpstream upstream = pick(system.upstreams());
    if (random.nextBoolean()) {
      tell("an upstream drops its connections");
      upstream.crash();
      return;
    }
    tell("an upstream is full for " + millis + " ms");
    upstream.full(true);
    later(millis, () -> upstream.full(false));
  }

  /** Restarts all processes and injects the remaining losses of disks. */
  void settle() throws IOException, InterruptedException {
    restore();
    Instant end = Instant.now().plus(LONGEST_REPAIR);
    while (!losses.isEmpty() && Instant.now().isBefore(end)) {
      loseDiskIfBorne();
      TimeUnit.MILLISECONDS.sleep(REPAIR_POLL_MILLIS);
    }
    restore();
  }

  private void restore() throws IOException, InterruptedException {
    for (Thread restart : restarts) {
      restart.join();
    }
    for (RelayProcess process : all()) {
      process.signal("CONT");
    }
    system.startAll(all());
  }
}
