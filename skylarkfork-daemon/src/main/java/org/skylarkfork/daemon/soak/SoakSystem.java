package org.skylarkfork.daemon.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

/** The processes, upstreams and proxies of one soak. */
final class SoakSystem implements AutoCloseable {

  private static final String HOST = "127.0.0.1";

  /** Number of upstreams of the version that is rolled out. */
  private static final int NEW_UPSTREAMS = 2;

  private final List<RelayProcess> controls = new ArrayList<>();
  private final List<RelayProcess> entries = new ArrayList<>();
  private final List<Integer> controlPorts = new ArrayList<>();
  private final List<SoakUpstream> upstreams = new ArrayList<>();
  private final BackoffWitness backoffs = new BackoffWitness();
  private final List<LoopbackProxy> callerProxies = new ArrayList<>();
  private final List<LoopbackProxy> upstreamProxies = new ArrayList<>();
  private final PortBlock ports;
  private boolean closed;

  /**
   * Creates the processes, upstreams and proxies; {@link #start} starts the processes.
   *
   * @param settings numbers of processes and upstreams
   * @param runs records the runs of each request
   * @param findings receives each end of a process that nobody asked for
   */
  SoakSystem(SoakSettings settings, RunWitness runs, List<String> findings) throws IOException {
    ports = PortBlock.take();
    List<Integer> peers = new ArrayList<>();
    while (peers.size() < settings.controls() + settings.entries()) {
      peers.add(ports.next());
    }
    List<String> seeds =
        peers.subList(0, settings.controls()).stream().map(port -> HOST + ":" + port).toList();
    for (int number = 0; number < settings.controls(); number++) {
      int port = ports.next();
      controlPorts.add(port);
      controls.add(control(number, settings, peers.get(number), port, seeds, findings));
    }
    for (int number = 0; number < settings.entries(); number++) {
      int port = ports.next();
      int peer = peers.get(settings.controls() + number);
      entries.add(entry(number, settings, peer, port, seeds, findings));
      callerProxies.add(new LoopbackProxy(new InetSocketAddress(HOST, port)));
    }
    for (int number = 0; number < settings.upstreams(); number++) {
      add(
          new SoakUpstream(
              number, settings, runs, backoffs, SoakRollOut.OLD_VERSION, Duration.ZERO));
    }
    Duration delay = SoakRollOut.delay(settings);
    for (int number = 0; number < NEW_UPSTREAMS; number++) {
      int next = settings.upstreams() + number;
      add(new SoakUpstream(next, settings, runs, backoffs, SoakRollOut.NEW_VERSION, delay));
    }
  }

  private void add(SoakUpstream upstream) throws IOException {
    upstreams.add(upstream);
    upstreamProxies.add(new LoopbackProxy(new InetSocketAddress(HOST, upstream.port())));
  }

  private static RelayProcess control(
      int number,
      SoakSettings settings,
      int peer,
      int port,
      List<String> seeds,
      List<String> findings)
      throws IOException {
    String name = "control-" + (number + 1);
    Path data = settings.folder().resolve(name);
    String text =
        common(name, peer, seeds)
            + "controlPort: "
            + port
            + "\ndataFolder: "
            + data
            + "\nvoters: "
            + settings.controls()
            + "\n";
    return new RelayProcess(name, settings.folder(), text, List.of(peer, port), findings);
  }

  private static RelayProcess entry(
      int number,
      SoakSettings settings,
      int peer,
      int port,
      List<String> seeds,
      List<String> findings)
      throws IOException {
    String name = "entry-" + (number + 1);
    String text = common(name, peer, seeds) + "callerPort: " + port + "\nretryRatio: 0.9\n";
    return new RelayProcess(name, settings.folder(), text, List.of(peer, port), findings);
  }

  private static String common(String name, int peer, List<String> seeds) {
    return "node: "
        + name
        + "\nzone: a\nhost: "
        + HOST
        + "\npeerPort: "
        + peer
        + "\nseeds: ["
        + String.join(", ", seeds.stream().map(seed -> '"' + seed + '"').toList())
        + "]\n";
  }

  void start() throws IOException {
    startAll(controls);
    startAll(entries);
  }

  /** Starts the processes that don't run, unless the soak has been closed. */
  synchronized void startAll(List<RelayProcess> processes) throws IOException {
    for (RelayProcess process : processes) {
      if (!closed) {
        process.start();
        backoffs.onEntryDisturbed(process.name());
      }
    }
  }

  /** Records a finding for each process that has ended by itself. */
  void checkEnds() throws IOException {
    for (RelayProcess process : controls) {
      process.checkEnd();
    }
    for (RelayProcess process : entries) {
      process.checkEnd();
    }
  }

  List<RelayProcess> controls() {
    return controls;
  }

  List<RelayProcess> entries() {
    return entries;
  }

  List<Integer> controlPorts() {
    return controlPorts;
  }

  List<SoakUpstream> upstreams() {
    return upstreams;
  }

  /** Returns the record of requested backoffs. */
  BackoffWitness backoffs() {
    return backoffs;
  }

  List<LoopbackProxy> callerProxies() {
    return callerProxies;
  }

  List<LoopbackProxy> upstreamProxies() {
    return upstreamProxies;
  }

  /** Returns the number of processes. */
  int size() {
    return IntStream.of(controls.size(), entries.size()).sum();
  }

  @Override
  public synchronized void close() throws IOException {
    closed = true;
    try {
      for (RelayProcess process : controls) {
        process.kill();
      }
      for (RelayProcess process : entries) {
        process.kill();
      }
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
    for (SoakUpstream upstream : upstreams) {
      upstream.close();
    }
    for (LoopbackProxy proxy : callerProxies) {
      proxy.close();
    }
    for (LoopbackProxy proxy : upstreamProxies) {
      proxy.close();
    }
    ports.close();
  }
}
