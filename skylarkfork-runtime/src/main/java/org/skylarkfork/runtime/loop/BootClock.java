package org.skylarkfork.runtime.loop;

import com.sun.jna.Function;
import com.sun.jna.Memory;
import com.sun.jna.NativeLibrary;
import java.util.function.LongSupplier;
import org.tinylog.Logger;

/**
 * The time since the machine started, with the time in which it was suspended.
 *
 * <p>The usual steady clock stands still while a machine is suspended. A lease counted with it
 * alone would outlive its time, and a key that was taken away would work again after the wake-up.
 */
public final class BootClock {

  private static final int CLOCK_BOOTTIME = 7;
  private static final int TIME_BYTES = 16;
  private static final long NANOS_OFFSET = 8;
  private static final long NANOS_A_SECOND = 1_000_000_000L;

  private BootClock() {}

  /**
   * Returns a counter of nanoseconds that never goes back and runs on through a suspension, or the
   * steady clock's with a warning where the system has no such clock.
   */
  public static LongSupplier nanoTime() {
    try {
      Function read = NativeLibrary.getInstance("c").getFunction("clock_gettime");
      Memory time = new Memory(TIME_BYTES);
      Object[] arguments = {CLOCK_BOOTTIME, time};
      if (read.invokeInt(arguments) == 0) {
        return () -> nanos(read, arguments, time);
      }
      Logger.warn("clock: the boot clock can't be read; leases don't count a suspension");
    } catch (UnsatisfiedLinkError | RuntimeException e) {
      Logger.warn("clock: no boot clock ({}); leases don't count a suspension", e.toString());
    }
    return System::nanoTime;
  }

  private static synchronized long nanos(Function read, Object[] arguments, Memory time) {
    read.invokeInt(arguments);
    return time.getLong(0) * NANOS_A_SECOND + time.getLong(NANOS_OFFSET);
  }
}
