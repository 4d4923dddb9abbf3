package org.skylarkfork.standin.engine;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import org.skylarkfork.standin.announce.LoadReport;

/** Reports a load that is at least as old as a set lag. */
final class LoadReporter {

  private static final int MAX_SAMPLES = 256;

  private final Duration lag;
  private final Deque<Sample> samples = new ArrayDeque<>();

  LoadReporter(Duration lag) {
    this.lag = lag;
  }

  private record Sample(Instant taken, int running, int queued, double cacheUsed) {}

  /** Remembers the present load and gives the newest remembered one that is old enough. */
  synchronized LoadReport report(int running, int queued, double cacheUsed, Instant now) {
    samples.addLast(new Sample(now, running, queued, cacheUsed));
    if (samples.size() > MAX_SAMPLES) {
      samples.removeFirst();
    }
    Instant newest = now.minus(lag);
    Sample reported = samples.getFirst();
    for (Sample sample : samples) {
      if (!sample.taken().isAfter(newest)) {
        reported = sample;
      }
    }
    long age = Duration.between(reported.taken(), now).toMillis();
    return new LoadReport(reported.running(), reported.queued(), reported.cacheUsed(), age);
  }
}
