package org.skylarkfork.standin.measure;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Predicate;
import org.skylarkfork.core.configuration.ConfigurationChange;
import org.skylarkfork.core.effect.Effect;
import org.skylarkfork.core.effect.OperatorEffect;
import org.skylarkfork.core.effect.TraceEffect;
import org.skylarkfork.core.event.OperatorEvent;

/**
 * Measures how changes of the configuration reach all daemons, and what that costs each of them.
 *
 * <p>Arguments: voters, other daemons, zones, regions, changes a second, and seconds. The real
 * parts run in one process in virtual time: a message takes 1 ms within a region and 20 ms between
 * regions, a sync 4 ms. Messages are sized by the wire's codec. Processor time is the thread's own,
 * encoding and decoding included.
 */
public final class ConfigurationMeasure {

  private static final String KEY_HASH = "c".repeat(64);
  private static final Duration WARM_UP = Duration.ofSeconds(20);
  private static final Duration LOADING = Duration.ofSeconds(20);
  private static final Duration WATCH = Duration.ofMillis(10);
  private static final int TEAMS = 100;
  private static final double MICROS = 1e6;

  private final ControlNetwork network;
  private final double rate;
  private final int seconds;
  private final Map<Long, Instant> acceptedAt = new HashMap<>();
  private final List<Double> appliedMillis = new ArrayList<>();
  private final List<Double> inForceMillis = new ArrayList<>();
  private long watched;
  private int sent;
  private int accepted;
  private int refused;

  private ConfigurationMeasure(String[] arguments) {
    network =
        new ControlNetwork(
            Integer.parseInt(arguments[0]),
            Integer.parseInt(arguments[1]),
            Integer.parseInt(arguments[2]),
            Integer.parseInt(arguments[3]),
            KEY_HASH,
            this::onEffect);
    rate = Double.parseDouble(arguments[4]);
    seconds = Integer.parseInt(arguments[5]);
  }

  /** Runs one point and prints one JSON line a role. */
  public static void main(String[] arguments) {
    ConfigurationMeasure measure = new ConfigurationMeasure(arguments);
    measure.load();
    measure.run();
    measure.print(String.join(" ", arguments));
  }

  private void load() {
    run(WARM_UP);
    List<ConfigurationChange> changes = MeasureConfiguration.changes(TEAMS);
    for (ConfigurationChange change : changes) {
      change(change);
      run(LOADING.dividedBy(changes.size()));
    }
    run(LOADING);
    if (refused > 0) {
      throw new IllegalStateException(refused + " changes of the first load were refused");
    }
  }

  private void run(Duration length) {
    network.time.runUntil(network.time.now().plus(length));
  }

  private void run() {
    sent = 0;
    accepted = 0;
    acceptedAt.clear();
    inForceMillis.clear();
    appliedMillis.clear();
    watched = revisionEverywhere();
    network.daemons.values().forEach(ControlDaemon::reset);
    if (rate > 0) {
      network.time.after(0, this::nextChange);
    }
    network.time.after(WATCH.toNanos() / 1_000, this::watch);
    run(Duration.ofSeconds(seconds));
  }

  private void nextChange() {
    int number = sent;
    if (number % 3 == 0) {
      change(new ConfigurationChange.PutTeam(MeasureConfiguration.team(number % TEAMS, number)));
    } else if (number % 3 == 1) {
      double target = 0.5 + number % 400 / 1_000.0;
      int place = number % MeasureConfiguration.RULES;
      change(
          new ConfigurationChange.PutRule(MeasureConfiguration.rule(place, TEAMS, target), null));
    } else {
      change(new ConfigurationChange.DrainUpstream("engine-" + number));
    }
    network.time.after((long) (MICROS / rate), this::nextChange);
  }

  private void change(ConfigurationChange change) {
    List<ControlDaemon> all = new ArrayList<>(network.daemons.values());
    ControlDaemon asked = all.get(sent % all.size());
    sent++;
    String id = "change-" + network.time.now().toEpochMilli() + "-" + sent;
    network.deliver(asked, new OperatorEvent.ChangeRequested(id, KEY_HASH, id, null, change));
  }

  private void onEffect(ControlDaemon daemon, Effect effect) {
    if (effect instanceof OperatorEffect.ChangeAccepted answer) {
      accepted++;
      acceptedAt.put(answer.revision(), answer.acceptedAt());
    } else if (effect instanceof OperatorEffect) {
      refused++;
    } else if (effect instanceof TraceEffect.Observe observe
        && observe.name().equals("configuration_in_force_seconds")) {
      inForceMillis.add(observe.value() * 1_000);
    }
  }

  /** Notes the first moment at which every daemon has applied a revision, to 10 ms. */
  private void watch() {
    long everywhere = revisionEverywhere();
    for (long revision = watched + 1; revision <= everywhere; revision++) {
      Instant at = acceptedAt.get(revision);
      if (at != null) {
        appliedMillis.add((double) Duration.between(at, network.time.now()).toMillis());
      }
    }
    watched = Math.max(watched, everywhere);
    network.time.after(WATCH.toNanos() / 1_000, this::watch);
  }

  private long revisionEverywhere() {
    return network.daemons.values().stream()
        .mapToLong(daemon -> daemon.configuration.current().revision())
        .min()
        .orElse(0);
  }

  private void print(String arguments) {
    ControlDaemon leader = network.leader();
    System.out.printf(
        Locale.ROOT,
        "{\"measure\":\"configuration\",\"arguments\":\"%s\",\"sent\":%d,\"accepted\":%d,"
            + "\"refused\":%d,%s,%s}%n",
        arguments,
        sent,
        accepted,
        refused,
        times("appliedByAll", appliedMillis),
        times("toldInForce", inForceMillis));
    role("leader", daemon -> daemon == leader);
    role("follower", daemon -> daemon.voter && daemon != leader);
    role("entry", daemon -> !daemon.voter);
  }

  private static String times(String name, List<Double> millis) {
    if (millis.isEmpty()) {
      return "\"" + name + "\":null";
    }
    Collections.sort(millis);
    return String.format(
        Locale.ROOT,
        "\"%s\":{\"count\":%d,\"medianMillis\":%.0f,\"worstMillis\":%.0f}",
        name,
        millis.size(),
        millis.get(millis.size() / 2),
        millis.get(millis.size() - 1));
  }

  private void role(String name, Predicate<ControlDaemon> filter) {
    List<ControlDaemon> chosen = network.daemons.values().stream().filter(filter).toList();
    if (chosen.isEmpty()) {
      return;
    }
    double count = (double) chosen.size() * seconds;
    System.out.printf(
        Locale.ROOT,
        "  {\"role\":\"%s\",\"daemons\":%d,\"outMean\":%.0f,\"outMost\":%.0f,\"inMean\":%.0f,"
            + "\"inMost\":%.0f,\"messagesOut\":%.1f,\"syncs\":%.2f,\"corePercentMean\":%.3f,"
            + "\"corePercentMost\":%.3f}%n",
        name,
        chosen.size(),
        chosen.stream().mapToLong(daemon -> daemon.bytesOut).sum() / count,
        chosen.stream().mapToLong(daemon -> daemon.bytesOut).max().orElse(0) / (double) seconds,
        chosen.stream().mapToLong(daemon -> daemon.bytesIn).sum() / count,
        chosen.stream().mapToLong(daemon -> daemon.bytesIn).max().orElse(0) / (double) seconds,
        chosen.stream().mapToLong(daemon -> daemon.messagesOut).sum() / count,
        chosen.stream().mapToLong(daemon -> daemon.syncs).sum() / count,
        chosen.stream().mapToLong(daemon -> daemon.nanos).sum() / count / 1e7,
        chosen.stream().mapToLong(daemon -> daemon.nanos).max().orElse(0) / seconds / 1e7);
  }
}
