package org.skylarkfork.standin.measure;

import java.time.Instant;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.effect.Effect;
import org.skylarkfork.core.event.Event;
import org.skylarkfork.core.fairshare.AttemptShift;
import org.skylarkfork.core.fairshare.FairShares;
import org.skylarkfork.core.fairshare.PlacedAttempt;

/** Time of a scheduler's decision on the shift of an attempt, by the number of teams. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Fork(1)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
public class FairSharesBenchmark {

  private static final Instant START = Instant.parse("2026-05-04T08:00:00Z");

  /** Far fewer engines than the work needs, so that each level is divided between all teams. */
  private static final int ENGINES = 1;

  private static final double WAIT_MILLIS = 400;
  private static final double WORK_MILLIS = 90;
  private static final int LEFT_MILLIS = 8000;
  private static final int OBJECTIVE_MILLIS = 1500;

  /** A level is used for 50 ms; at this step each decision computes a new one. */
  private static final int NEW_LEVEL_MILLIS = 51;

  /** Number of teams. */
  @Param({"24", "1024"})
  public int teams;

  /** Time between two decisions in milliseconds. */
  @Param({"2", "" + NEW_LEVEL_MILLIS})
  public int stepMillis;

  private final Output output = new IgnoredEffects();
  private final FairShares shares = new FairShares(true);
  private String[] names = {};
  private Instant now = START;
  private int number;

  /** Output of a decision that nobody reads. */
  private static final class IgnoredEffects implements Output {
    @Override
    public void effect(Effect effect) {}

    @Override
    public void raise(Event event) {}
  }

  /** Records work of all teams, the more the later they come. */
  @Setup
  public void setUp() {
    names = new String[teams];
    for (int team = 0; team < teams; team++) {
      names[team] = "team-" + team;
    }
    for (int step = 0; step < 2 * teams; step++) {
      decide();
    }
  }

  /**
   * Decides on an attempt under contention. One attempt of ten belongs to one large team, which is
   * shifted; each attempt starts before the next decision.
   */
  @Benchmark
  public AttemptShift decide() {
    number++;
    now = now.plusMillis(stepMillis);
    String team = names[number % 10 == 0 ? 0 : number % teams];
    PlacedAttempt attempt =
        new PlacedAttempt(
            "service",
            team,
            number % 3,
            OBJECTIVE_MILLIS,
            LEFT_MILLIS,
            "engine",
            WAIT_MILLIS,
            WAIT_MILLIS,
            WAIT_MILLIS,
            WORK_MILLIS * (1 + number % 17),
            ranks -> 4 + ranks);
    AttemptShift shift = shares.decide(attempt, () -> ENGINES, now, output);
    if (shift.ranks() > 0) {
      shares.recordStarted("engine", 4 + shift.ranks(), attempt.workMillis());
    }
    return shift;
  }
}
