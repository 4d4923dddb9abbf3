package org.skylarkfork.core.attempt;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/** Histogram of the durations in the last one or two windows; older durations are dropped. */
final class RecentDurations {

  private static final long MAX_MICROS = TimeUnit.MINUTES.toMicros(2);
  private static final int SIGNIFICANT_DIGITS = 2;
  private static final int WINDOW_SAMPLES = 2000;

  private Histogram current = new Histogram(MAX_MICROS, SIGNIFICANT_DIGITS);
  private Histogram previous = new Histogram(MAX_MICROS, SIGNIFICANT_DIGITS);

  void add(Duration duration) {
    long micros = TimeUnit.NANOSECONDS.toMicros(duration.toNanos());
    current.recordValue(Math.max(0, Math.min(MAX_MICROS, micros)));
    if (current.getTotalCount() >= WINDOW_SAMPLES) {
      Histogram oldest = previous;
      previous = current;
      oldest.reset();
      current = oldest;
    }
  }

  private Histogram largerWindow() {
    return current.getTotalCount() > previous.getTotalCount() ? current : previous;
  }

  long count() {
    return largerWindow().getTotalCount();
  }

  Duration percentile(double percentile) {
    long micros = largerWindow().getValueAtPercentile(percentile);
    return Duration.ofNanos(TimeUnit.MICROSECONDS.toNanos(micros));
  }
}
