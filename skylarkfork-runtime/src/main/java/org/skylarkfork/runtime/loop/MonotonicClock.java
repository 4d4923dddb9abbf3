package org.skylarkfork.runtime.loop;

import java.time.Instant;
import java.time.InstantSource;
import java.util.function.LongSupplier;

/**
 * A clock that starts at the wall clock's time and then only runs forward.
 *
 * <p>Should the wall clock jump, leases and deadlines measured with it would end early or late.
 * Elapsed time comes from the process's monotonic counter alone, so a jump has no effect until the
 * next start.
 */
public final class MonotonicClock implements InstantSource {

  private final Instant origin;
  private final LongSupplier nanoTime;
  private final long originNanos;

  /**
   * Makes a clock.
   *
   * @param wall gives the time at the start
   * @param nanoTime a counter of nanoseconds that never goes back, such as {@code System::nanoTime}
   */
  public MonotonicClock(InstantSource wall, LongSupplier nanoTime) {
    this.origin = wall.instant();
    this.nanoTime = nanoTime;
    this.originNanos = nanoTime.getAsLong();
  }

  @Override
  public Instant instant() {
    return origin.plusNanos(nanoTime.getAsLong() - originNanos);
  }
}
