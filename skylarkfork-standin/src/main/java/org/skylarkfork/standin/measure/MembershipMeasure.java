package org.skylarkfork.standin.measure;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Measures what membership and the directory cost each daemon.
 *
 * <p>Arguments: members, upstreams, zones, and optionally {@code loss} with a rate in percent. The
 * parts of all daemons run in one process in virtual time, with messages sized by the wire's codec.
 * While it measures, all upstreams change what they have loaded twice an hour, as in a roll-out.
 */
public final class MembershipMeasure {

  private static final Duration WARM_UP = Duration.ofSeconds(40);
  private static final Duration MEASURED = Duration.ofSeconds(60);
  private static final Duration LOSS_RUN = Duration.ofMinutes(5);
  private static final Duration STEP = Duration.ofMillis(20);
  private static final double CHANGES_A_SECOND = 2.0 / 3600;
  private static final int LEAVERS = 20;

  private MembershipMeasure() {}

  /** Runs one point and prints a line of figures. */
  public static void main(String[] arguments) {
    int members = Integer.parseInt(arguments[0]);
    int upstreams = Integer.parseInt(arguments[1]);
    int zones = Integer.parseInt(arguments[2]);
    MeasuredNetwork network = new MeasuredNetwork(members, upstreams, zones, 1);
    network.run(WARM_UP);
    if (arguments.length > 3) {
      losses(network, Double.parseDouble(arguments[3]) / 100);
      return;
    }
    network.reset();
    changes(network);
    print(network, upstreams);
    leaving(network);
  }

  private static void changes(MeasuredNetwork network) {
    Instant end = network.now.plus(MEASURED);
    double due = 0;
    while (network.now.isBefore(end)) {
      due += network.engines.size() * CHANGES_A_SECOND;
      for (; due >= 1; due--) {
        int index = network.random.nextInt(network.engines.size());
        network.engines.get(index).adapters++;
      }
      network.run(Duration.ofSeconds(1));
    }
  }

  private static void print(MeasuredNetwork network, int upstreams) {
    double seconds = MEASURED.toSeconds();
    double daemons = network.daemons.size();
    double out = network.daemons.stream().mapToLong(daemon -> daemon.bytesOut).sum();
    double most = network.daemons.stream().mapToLong(daemon -> daemon.bytesOut).max().orElse(0);
    double in = network.daemons.stream().mapToLong(daemon -> daemon.bytesIn).max().orElse(0);
    double messages = network.daemons.stream().mapToLong(daemon -> daemon.messagesOut).sum();
    double nanos = network.daemons.stream().mapToLong(daemon -> daemon.nanos).sum();
    System.out.printf(
        "members %.0f upstreams %d: out %.0f B/s mean, %.0f most; in %.0f most;"
            + " %.1f messages/s; processor %.3f%%%n",
        daemons,
        upstreams,
        out / daemons / seconds,
        most / seconds,
        in / seconds,
        messages / daemons / seconds,
        nanos / daemons / seconds / 1e7);
    for (Map.Entry<String, Long> entry : network.bytesByType.entrySet()) {
      double share = entry.getValue() / daemons / seconds;
      System.out.printf("  %s %.0f B/s%n", entry.getKey(), share);
    }
  }

  /** Lets upstreams leave one after the other and times until every daemon knows. */
  private static void leaving(MeasuredNetwork network) {
    List<Long> millis = new ArrayList<>();
    for (int i = 0; i < LEAVERS; i++) {
      MeasuredNetwork.EngineState engine = network.engines.get(i);
      engine.leaving = true;
      engine.next = network.now;
      Instant start = network.now;
      while (!known(network, engine) && network.now.isBefore(start.plusSeconds(60))) {
        network.run(STEP);
      }
      millis.add(Duration.between(start, network.now).toMillis());
    }
    millis.sort(Long::compare);
    System.out.printf(
        "  leaving known to all after %d ms median, %d ms worst of %d%n",
        millis.get(LEAVERS / 2), millis.get(LEAVERS - 1), LEAVERS);
  }

  private static boolean known(MeasuredNetwork network, MeasuredNetwork.EngineState engine) {
    return network.daemons.stream()
        .allMatch(
            daemon ->
                daemon
                    .directory
                    .find(engine.id)
                    .filter(announcement -> announcement.leaving())
                    .isPresent());
  }

  private static void losses(MeasuredNetwork network, double loss) {
    network.daemons.forEach(daemon -> daemon.suspicionsSeen = 0);
    network.daemons.forEach(daemon -> daemon.deathsSeen = 0);
    network.loss = loss;
    network.run(LOSS_RUN);
    int deaths = network.daemons.stream().mapToInt(daemon -> daemon.deathsSeen).sum();
    int suspicions = network.daemons.stream().mapToInt(daemon -> daemon.suspicionsSeen).sum();
    System.out.printf(
        "members %d, loss %.0f%% for %d s: %d false deaths and %d suspicions seen by all%n",
        network.daemons.size(), loss * 100, LOSS_RUN.toSeconds(), deaths, suspicions);
  }
}
