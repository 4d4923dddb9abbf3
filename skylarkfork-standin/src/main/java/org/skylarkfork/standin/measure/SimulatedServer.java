package org.skylarkfork.standin.measure;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.BooleanSupplier;
import org.apache.commons.rng.UniformRandomProvider;

/** A server with a fixed number of workers, a queue in order of arrival and random run times. */
public final class SimulatedServer {

  private final VirtualTime time;
  private final UniformRandomProvider random;
  private final int capacity;
  private final double meanMicros;
  private final Deque<Waiting> queue = new ArrayDeque<>();
  private int running;
  private double slowness = 1;
  private boolean silent;

  /**
   * Makes an idle server.
   *
   * @param time the virtual time
   * @param random gives run times
   * @param capacity number of workers
   * @param meanMicros mean run time in microseconds
   */
  public SimulatedServer(
      VirtualTime time, UniformRandomProvider random, int capacity, double meanMicros) {
    this.time = time;
    this.random = random;
    this.capacity = capacity;
    this.meanMicros = meanMicros;
  }

  /** Makes it slower by a factor from now on. */
  public void slowDown(double factor) {
    slowness = factor;
  }

  /** Makes it take requests without ever answering, or answer again. */
  public void silence(boolean silent) {
    this.silent = silent;
    if (!silent) {
      queue.clear();
      running = 0;
    }
  }

  /** Returns how many requests run. */
  public int running() {
    return running;
  }

  /** Returns how many requests wait. */
  public int queued() {
    return queue.size();
  }

  /**
   * Takes a request.
   *
   * @param wanted whether it is still wanted when its turn comes
   * @param answered called when it is answered
   */
  public void submit(BooleanSupplier wanted, Runnable answered) {
    if (!silent && running < capacity) {
      run(answered);
    } else {
      queue.add(new Waiting(wanted, answered));
    }
  }

  private void run(Runnable answered) {
    running++;
    double micros = -Math.log(1 - random.nextDouble()) * meanMicros * slowness;
    time.after(
        Math.round(micros),
        () -> {
          if (silent) {
            return;
          }
          running = Math.max(0, running - 1);
          answered.run();
          runNext();
        });
  }

  private void runNext() {
    while (!queue.isEmpty() && running < capacity) {
      Waiting next = queue.removeFirst();
      if (next.wanted().getAsBoolean()) {
        run(next.answered());
      }
    }
  }

  private record Waiting(BooleanSupplier wanted, Runnable answered) {}
}
