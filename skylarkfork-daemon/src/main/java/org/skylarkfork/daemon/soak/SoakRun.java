package org.skylarkfork.daemon.soak;

import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** A soak: real processes under load, with injected faults and the check of their outcome. */
public final class SoakRun {

  private static final Duration FOUNDED = Duration.ofSeconds(60);
  private static final Duration RECOVERED = Duration.ofSeconds(40);
  private static final long HEARTBEAT_MILLIS = 500;
  private static final long SHORTEST_PAUSE_MILLIS = 150;
  private static final long LONGEST_PAUSE_MILLIS = 1500;

  private final SoakSettings settings;
  private final UniformRandomProvider random;
  private final RunWitness runs = new RunWitness();
  private final List<SoakAnswer> answers = new CopyOnWriteArrayList<>();
  private final List<String> findings = new CopyOnWriteArrayList<>();
  private volatile boolean over;

  /**
   * Creates a soak.
   *
   * @param settings duration, seed and sizes
   */
  public SoakRun(SoakSettings settings) {
    this.settings = settings;
    this.random = RandomSource.XO_SHI_RO_256_PP.create(settings.seed());
  }

  /**
   * Runs the soak.
   *
   * @return the outcome
   * @throws IOException if a process can't be started
   */
  public SoakResult run() throws IOException, InterruptedException {
    try (SoakSystem system = new SoakSystem(settings, runs, findings)) {
      system.start();
      SoakOperator operator = new SoakOperator(system.controlPorts(), findings);
      SoakRollOut rollOut = new SoakRollOut(settings, operator, random);
      final Thread beats =
          SoakThreads.start("heartbeats", () -> announce(system, operator, rollOut));
      await(FOUNDED, "no configuration was accepted", () -> founded(operator));
      SoakFaults faults = new SoakFaults(system, random, operator, findings);
      List<SoakCaller> callers = new ArrayList<>();
      final List<Thread> threads = call(system, operator, callers);
      await(FOUNDED, "no roll-out was accepted", rollOut::order);
      disturb(operator, faults);
      faults.settle();
      await(RECOVERED, "not all entries serve again", () -> allServe(system));
      await(RECOVERED, "no change is accepted again", () -> changed(operator));
      await(RECOVERED, "the roll-out isn't decided", rollOut::isDecided);
      findings.addAll(rollOut.findings(Instant.now()));
      callers.forEach(SoakCaller::stop);
      for (Thread thread : threads) {
        thread.join();
      }
      over = true;
      beats.join();
      system.checkEnds();
      List<String> broken = new ArrayList<>(findings);
      broken.addAll(new SoakChecker(answers, runs, operator.accepted()).findings());
      broken.addAll(system.backoffs().findings());
      return new SoakResult(
          answers.size(),
          (int) answers.stream().filter(SoakAnswer::whole).count(),
          system.size(),
          faults.told(),
          faults.disksLost(),
          faults.disksSpared(),
          operator.accepted().size(),
          runs.secondAnswers(),
          broken);
    }
  }

  /** A condition that is polled. */
  private interface Condition {
    boolean holds() throws IOException, InterruptedException;
  }

  private void await(Duration limit, String otherwise, Condition condition)
      throws IOException, InterruptedException {
    Instant end = Instant.now().plus(limit);
    while (!condition.holds()) {
      if (Instant.now().isAfter(end)) {
        findings.add(otherwise + " within " + limit);
        return;
      }
      TimeUnit.MILLISECONDS.sleep(SHORTEST_PAUSE_MILLIS);
    }
  }

  private boolean founded(SoakOperator operator) throws InterruptedException {
    operator.put(random.nextInt(settings.controls()));
    return operator.acceptedVersion() > 0;
  }

  private boolean changed(SoakOperator operator) throws InterruptedException {
    long before = operator.acceptedVersion();
    operator.put(random.nextInt(settings.controls()));
    long accepted = operator.acceptedVersion();
    return accepted > before && operator.read(random.nextInt(settings.controls())) >= accepted;
  }

  private void announce(SoakSystem system, SoakOperator operator, SoakRollOut rollOut) {
    try {
      for (long sequence = 1; !over; sequence++) {
        for (int number = 0; number < system.upstreams().size(); number++) {
          String version = system.upstreams().get(number).version();
          if (rollOut.isOrdered() || version.equals(SoakRollOut.OLD_VERSION)) {
            int port = system.upstreamProxies().get(number).port();
            operator.announce("up-" + number, version, port, sequence);
          }
        }
        TimeUnit.MILLISECONDS.sleep(HEARTBEAT_MILLIS);
      }
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  private List<Thread> call(SoakSystem system, SoakOperator operator, List<SoakCaller> callers) {
    List<Thread> threads = new ArrayList<>();
    for (int number = 0; number < settings.callers(); number++) {
      boolean lasting = number % 3 != 0;
      SoakCaller caller =
          new SoakCaller(
              number,
              settings.entries(),
              entry -> system.callerProxies().get(entry).port(),
              () -> lasting ? SoakOperator.LASTING_KEY : SoakOperator.key(someVersion(operator)),
              answers::add,
              settings.seed() * 1000 + number);
      callers.add(caller);
      threads.add(SoakThreads.start("caller", caller::run));
    }
    return threads;
  }

  /** Returns the newest version or an earlier one, whose keys were removed. */
  private static long someVersion(SoakOperator operator) {
    long newest = operator.newest();
    return Math.max(1, newest - (System.nanoTime() / 1000 & 3));
  }

  private void disturb(SoakOperator operator, SoakFaults faults)
      throws IOException, InterruptedException {
    Instant end = Instant.now().plus(settings.duration());
    while (Instant.now().isBefore(end)) {
      long pause = LONGEST_PAUSE_MILLIS - SHORTEST_PAUSE_MILLIS;
      TimeUnit.MILLISECONDS.sleep(SHORTEST_PAUSE_MILLIS + random.nextLong(pause));
      switch (random.nextInt(4)) {
        case 0 -> operator.put(random.nextInt(settings.controls()));
        case 1 -> operator.read(random.nextInt(settings.controls()));
        default -> {
          if (settings.hasFaults()) {
            faults.strike();
          }
        }
      }
    }
  }

  private boolean allServe(SoakSystem system) {
    Instant lately = Instant.now().minusSeconds(1);
    for (int entry = 0; entry < system.entries().size(); entry++) {
      int number = entry;
      boolean serves =
          answers.stream()
              .anyMatch(
                  answer ->
                      answer.entry() == number
                          && answer.whole()
                          && answer.sentAt().isAfter(lately));
      if (!serves) {
        return false;
      }
    }
    return true;
  }
}
