package org.skylarkfork.standin.measure;

import java.time.Instant;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import org.skylarkfork.core.returning.ReturnSchedule;

/** Time to choose a refused caller's retry time in a schedule that is nearly full. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Fork(1)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
public class ReturnScheduleBenchmark {

  private static final Instant START = Instant.parse("2026-05-04T08:00:00Z");
  private static final int STEP_MILLIS = 5;
  private static final int RANKS = 3;
  private static final int ENDS = 2000;
  private static final int WAIT_MILLIS = 250;
  private static final int REMAINING_MILLIS = 15_000;

  private final ReturnSchedule schedule = new ReturnSchedule();
  private Instant now = START;
  private int refused;

  /** Fills the schedule with the times of five seconds. */
  @Setup
  public void setUp() {
    for (int end = 0; end < ENDS; end++) {
      now = now.plusMillis(STEP_MILLIS);
      schedule.recordEnd(now);
    }
    for (int caller = 0; caller < ENDS; caller++) {
      schedule.delayMillis(WAIT_MILLIS, 1, REMAINING_MILLIS, now);
    }
  }

  /** Refuses a caller of one of three ranks; a time becomes past with each. */
  @Benchmark
  public long refuse() {
    refused++;
    now = now.plusMillis(STEP_MILLIS);
    schedule.recordEnd(now);
    return schedule.delayMillis(WAIT_MILLIS, refused % RANKS, REMAINING_MILLIS, now);
  }

  /** Refuses a caller that has too little time for any of the free times. */
  @Benchmark
  public long refuseWithoutTime() {
    return schedule.delayMillis(WAIT_MILLIS, 1, WAIT_MILLIS * RANKS, now);
  }
}
