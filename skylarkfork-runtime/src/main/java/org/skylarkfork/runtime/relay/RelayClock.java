package org.skylarkfork.runtime.relay;

import java.time.InstantSource;
import java.util.function.LongSupplier;
import org.skylarkfork.runtime.loop.BootClock;
import org.skylarkfork.runtime.loop.MonotonicClock;

/** Creates the clock of a relay daemon. */
public final class RelayClock {

  private RelayClock() {}

  /**
   * Returns the clock of a daemon. An entry's clock includes the time that its VM is suspended,
   * since the entry's permission to accept requests with keys must expire in time.
   *
   * <p>A control VM has no such permission: it only compares the order of events, which a
   * suspension doesn't change. It uses the standard monotonic clock, because loading the native
   * library takes a fifth of the processor time of its start, and all entries wait for that start
   * after a crash of all daemons (full outage).
   *
   * @param settings the daemon's settings
   */
  public static InstantSource of(RelaySettings settings) {
    LongSupplier nanoTime = settings.caller() == null ? System::nanoTime : BootClock.nanoTime();
    return new MonotonicClock(InstantSource.system(), nanoTime);
  }
}
