package org.skylarkfork.standin.measure;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;

/** Processor time of the present thread, which other load on the machine doesn't lengthen. */
final class ProcessorTime {

  private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

  private ProcessorTime() {}

  /** Returns the nanoseconds that the present thread has run. */
  static long nanos() {
    return THREADS.getCurrentThreadCpuTime();
  }
}
