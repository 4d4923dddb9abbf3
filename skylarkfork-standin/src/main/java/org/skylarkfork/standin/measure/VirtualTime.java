package org.skylarkfork.standin.measure;

import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;

/** Actions at virtual instants, run in the order of time and, at one instant, of planning. */
public final class VirtualTime {

  private final PriorityQueue<Planned> planned =
      new PriorityQueue<>(Comparator.comparing(Planned::at).thenComparingLong(Planned::sequence));
  private Instant now;
  private long sequence;

  /** Begins at an instant. */
  public VirtualTime(Instant begin) {
    this.now = begin;
  }

  /** Returns the present virtual time. */
  public Instant now() {
    return now;
  }

  /** Plans an action after a delay in microseconds. */
  public void after(long micros, Runnable action) {
    sequence++;
    planned.add(new Planned(now.plusNanos(micros * 1_000), sequence, action));
  }

  /** Runs all actions up to an instant, those that they plan included. */
  public void runUntil(Instant end) {
    while (!planned.isEmpty() && !planned.peek().at().isAfter(end)) {
      Planned next = planned.remove();
      now = next.at();
      next.action().run();
    }
    now = end;
  }

  private record Planned(Instant at, long sequence, Runnable action) {}
}
