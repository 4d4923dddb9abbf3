package org.skylarkfork.core.attempt;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/** Measured times of the last one or two windows; older ones no longer count. */
final class RecentDurations {

  private static final long LONGEST_MICROS = TimeUnit.MINUTES.toMicros(2);
  private static final int DIGITS = 2;
  private static final int WINDOW = 2000;

  private Histogram present = new Histogram(LONGEST_MICROS, DIGITS);
  private Histogram before = new Histogram(LONGEST_MICROS, DIGITS);

  void add(Duration time) {
    long micros = TimeUnit.NANOSECONDS.toMicros(time.toNanos());
    present.recordValue(Math.max(0, Math.min(LONGEST_MICROS, micros)));
    if (present.getTotalCount() >= WINDOW) {
      Histogram oldest = before;
      before = present;
      oldest.reset();
      present = oldest;
    }
  }

  private Histogram fuller() {
    return present.getTotalCount() > before.getTotalCount() ? present : before;
  }

  long count() {
    return fuller().getTotalCount();
  }

  Duration percentile(double percentile) {
    long micros = fuller().getValueAtPercentile(percentile);
    return Duration.ofNanos(TimeUnit.MICROSECONDS.toNanos(micros));
  }
}
