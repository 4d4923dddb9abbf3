package org.skylarkfork.runtime.relay;

import java.time.InstantSource;
import java.util.function.LongSupplier;
import org.skylarkfork.runtime.loop.BootClock;
import org.skylarkfork.runtime.loop.MonotonicClock;

/** Makes the clock of a daemon of the relay. */
public final class RelayClock {

  private RelayClock() {}

  /**
   * Returns the clock for a daemon: an entry's runs on through a suspension, since its right to
   * take keyed requests must run out in time.
   *
   * <p>A control VM counts no such right: it compares only what happened before what, which a
   * suspension doesn't change. The usual steady clock spares it the native library, which takes a
   * fifth of the processor time of its start, and all entries wait for that start after a crash of
   * everything.
   *
   * @param settings the daemon's settings
   */
  public static InstantSource of(RelaySettings settings) {
    LongSupplier nanoTime = settings.caller() == null ? System::nanoTime : BootClock.nanoTime();
    return new MonotonicClock(InstantSource.system(), nanoTime);
  }
}
