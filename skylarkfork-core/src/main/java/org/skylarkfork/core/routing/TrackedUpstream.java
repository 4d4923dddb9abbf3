package org.skylarkfork.core.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.upstream.LoadReport;

/** What this entry knows of one upstream from its own requests and the last load report. */
final class TrackedUpstream {

  private static final int MOST_SAMPLES = 64;
  private static final double NEWEST_WEIGHT = 0.2;
  private static final double FORGET_SLOWNESS_MILLIS = 5_000;
  private static final double FASTEST = 0.25;
  private static final double SLOWEST = 8;

  private final ChooserSettings settings;
  private final Map<String, Instant> inFlight = new LinkedHashMap<>();
  private final Deque<Sample> samples = new ArrayDeque<>();
  private @Nullable LoadReport report;
  private Instant reportedAt = Instant.EPOCH;
  private int ownAtReport;
  private double meanMillis;
  private Instant lastEnd = Instant.EPOCH;
  private int failures;
  private @Nullable Instant outUntil;
  private Duration nextOut;
  private boolean probing;

  TrackedUpstream(ChooserSettings settings) {
    this.settings = settings;
    this.nextOut = settings.baseEjectionTime();
  }

  boolean isIdle() {
    return inFlight.isEmpty() && outUntil == null;
  }

  /** Returns whether it may get a request: it is in, or it is time for a single probe. */
  boolean isUsable(Instant now) {
    return outUntil == null || !now.isBefore(outUntil) && !probing;
  }

  /** Returns when it may be probed, or the earliest time if it is in. */
  Instant usableFrom() {
    return outUntil == null ? Instant.MIN : outUntil;
  }

  /** Takes in a load report and returns whether it is new. */
  boolean reported(LoadReport load, Instant now) {
    if (load == report) {
      return false;
    }
    report = load;
    reportedAt = now.minusMillis(load.ageMillis());
    ownAtReport = inFlightAt(reportedAt);
    return true;
  }

  /** Returns the requests of others that the last report showed. */
  double othersReported() {
    LoadReport last = report;
    return last == null ? 0 : Math.max(0, last.running() + last.queued() - ownAtReport);
  }

  /**
   * Estimates how many requests it has: this entry's, and the others' as far as the report is new.
   *
   * @param usualOthers what to take for the others where the report is old
   */
  double load(double usualOthers, Instant now) {
    double age = Math.max(0, Duration.between(reportedAt, now).toMillis());
    double trust = Math.pow(0.5, age / settings.reportHalfLife().toMillis());
    return inFlight.size() + trust * othersReported() + (1 - trust) * usualOthers;
  }

  /** Returns how much longer its requests take than usual, drawn to 1 while none ends. */
  double slowness(double usualMillis, Instant now) {
    if (usualMillis <= 0) {
      return 1;
    }
    double idle = Math.max(0, Duration.between(lastEnd, now).toMillis());
    double ratio = meanMillis <= 0 ? 1 : clamp(meanMillis / usualMillis);
    double remembered = Math.pow(ratio, Math.pow(0.5, idle / FORGET_SLOWNESS_MILLIS));
    // A silent upstream ends nothing, so that only the age of what waits there tells of it.
    double waiting = clamp(oldestMillis(now) / usualMillis / 2);
    return Math.max(remembered, waiting);
  }

  void dispatched(String requestId, Instant now) {
    inFlight.put(requestId, now);
    probing = outUntil != null;
    sample(now);
  }

  /** Takes note of an end and returns how long it took in milliseconds, or -1 if unknown. */
  long ended(String requestId, boolean healthy, Instant now) {
    final Instant begun = inFlight.remove(requestId);
    sample(now);
    lastEnd = now;
    if (healthy) {
      failures = 0;
      outUntil = null;
      probing = false;
      nextOut = settings.baseEjectionTime();
    } else {
      failed(now);
    }
    if (begun == null) {
      return -1;
    }
    long millis = Duration.between(begun, now).toMillis();
    // An upstream that refuses at once would look the fastest of all and draw all requests.
    if (healthy || millis > meanMillis) {
      meanMillis = meanMillis <= 0 ? millis : meanMillis + NEWEST_WEIGHT * (millis - meanMillis);
    }
    return millis;
  }

  private void failed(Instant now) {
    failures++;
    boolean alreadyOut = outUntil != null && !probing;
    // Requests sent before it was taken out fail later one by one; each must not double the time.
    if (alreadyOut || failures < settings.ejectionThreshold()) {
      return;
    }
    outUntil = now.plus(nextOut);
    probing = false;
    Duration doubled = nextOut.multipliedBy(2);
    nextOut =
        doubled.compareTo(settings.maxEjectionTime()) < 0 ? doubled : settings.maxEjectionTime();
  }

  private double oldestMillis(Instant now) {
    return inFlight.isEmpty()
        ? 0
        : Duration.between(inFlight.values().iterator().next(), now).toMillis();
  }

  private void sample(Instant now) {
    samples.addLast(new Sample(now, inFlight.size()));
    if (samples.size() > MOST_SAMPLES) {
      samples.removeFirst();
    }
  }

  private int inFlightAt(Instant time) {
    int count = 0;
    for (Sample sample : samples) {
      if (sample.at().isAfter(time)) {
        break;
      }
      count = sample.inFlight();
    }
    return count;
  }

  private static double clamp(double ratio) {
    return Math.max(FASTEST, Math.min(SLOWEST, ratio));
  }

  private record Sample(Instant at, int inFlight) {}
}
