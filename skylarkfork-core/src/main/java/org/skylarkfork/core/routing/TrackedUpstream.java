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

  private static final int MAX_SAMPLES = 64;
  private static final double SMOOTHING_FACTOR = 0.2;
  private static final double LATENCY_HALF_LIFE_MILLIS = 5_000;
  private static final double MIN_LATENCY_RATIO = 0.25;
  private static final double MAX_LATENCY_RATIO = 8;

  private final ChooserSettings settings;
  private final Map<String, Instant> inFlight = new LinkedHashMap<>();
  private final Deque<Sample> samples = new ArrayDeque<>();
  private @Nullable LoadReport report;
  private Instant reportedAt = Instant.EPOCH;
  private int ownRequestsAtReport;
  private double meanMillis;
  private Instant lastEndedAt = Instant.EPOCH;
  private int consecutiveFailures;
  private @Nullable Instant ejectedUntil;
  private Duration nextEjectionTime;
  private boolean probeInFlight;

  TrackedUpstream(ChooserSettings settings) {
    this.settings = settings;
    this.nextEjectionTime = settings.baseEjectionTime();
  }

  boolean isIdle() {
    return inFlight.isEmpty() && ejectedUntil == null;
  }

  /** Returns whether it may get a request: it is in, or it is time for a single probe. */
  boolean isUsable(Instant now) {
    return ejectedUntil == null || !now.isBefore(ejectedUntil) && !probeInFlight;
  }

  /** Returns when it may be probed, or the earliest time if it is in. */
  Instant usableFrom() {
    return ejectedUntil == null ? Instant.MIN : ejectedUntil;
  }

  /** Takes in a load report and returns whether it is new. */
  boolean recordReport(LoadReport load, Instant now) {
    if (load == report) {
      return false;
    }
    report = load;
    reportedAt = now.minusMillis(load.ageMillis());
    ownRequestsAtReport = inFlightAt(reportedAt);
    return true;
  }

  /** Returns the requests of others that the last report showed. */
  double reportedExternalRequests() {
    LoadReport last = report;
    return last == null ? 0 : Math.max(0, last.running() + last.queued() - ownRequestsAtReport);
  }

  /**
   * Estimates how many requests it has: this entry's, and the others' as far as the report is new.
   *
   * @param meanExternalRequests what to take for the others where the report is old
   */
  double load(double meanExternalRequests, Instant now) {
    double age = Math.max(0, Duration.between(reportedAt, now).toMillis());
    double reportWeight = Math.pow(0.5, age / settings.reportHalfLife().toMillis());
    return inFlight.size()
        + reportWeight * reportedExternalRequests()
        + (1 - reportWeight) * meanExternalRequests;
  }

  /** Returns how much longer its requests take than usual, drawn to 1 while none ends. */
  double latencyRatio(double serviceMeanMillis, Instant now) {
    if (serviceMeanMillis <= 0) {
      return 1;
    }
    double idle = Math.max(0, Duration.between(lastEndedAt, now).toMillis());
    double ratio = meanMillis <= 0 ? 1 : clamp(meanMillis / serviceMeanMillis);
    double decayedRatio = Math.pow(ratio, Math.pow(0.5, idle / LATENCY_HALF_LIFE_MILLIS));
    // A silent upstream ends nothing, so that only the age of what waits there tells of it.
    double waitingRatio = clamp(oldestRequestMillis(now) / serviceMeanMillis / 2);
    return Math.max(decayedRatio, waitingRatio);
  }

  void recordDispatch(String requestId, Instant now) {
    inFlight.put(requestId, now);
    probeInFlight = ejectedUntil != null;
    recordSample(now);
  }

  /** Takes note of an end and returns how long it took in milliseconds, or -1 if unknown. */
  long recordEnd(String requestId, boolean healthy, Instant now) {
    final Instant dispatchedAt = inFlight.remove(requestId);
    recordSample(now);
    lastEndedAt = now;
    if (healthy) {
      consecutiveFailures = 0;
      ejectedUntil = null;
      probeInFlight = false;
      nextEjectionTime = settings.baseEjectionTime();
    } else {
      recordFailure(now);
    }
    if (dispatchedAt == null) {
      return -1;
    }
    long millis = Duration.between(dispatchedAt, now).toMillis();
    // An upstream that refuses at once would look the fastest of all and draw all requests.
    if (healthy || millis > meanMillis) {
      meanMillis = meanMillis <= 0 ? millis : meanMillis + SMOOTHING_FACTOR * (millis - meanMillis);
    }
    return millis;
  }

  private void recordFailure(Instant now) {
    consecutiveFailures++;
    boolean alreadyEjected = ejectedUntil != null && !probeInFlight;
    // Requests sent before it was taken out fail later one by one; each must not double the time.
    if (alreadyEjected || consecutiveFailures < settings.ejectionThreshold()) {
      return;
    }
    ejectedUntil = now.plus(nextEjectionTime);
    probeInFlight = false;
    Duration doubled = nextEjectionTime.multipliedBy(2);
    nextEjectionTime =
        doubled.compareTo(settings.maxEjectionTime()) < 0 ? doubled : settings.maxEjectionTime();
  }

  private double oldestRequestMillis(Instant now) {
    return inFlight.isEmpty()
        ? 0
        : Duration.between(inFlight.values().iterator().next(), now).toMillis();
  }

  private void recordSample(Instant now) {
    samples.addLast(new Sample(now, inFlight.size()));
    if (samples.size() > MAX_SAMPLES) {
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
    return Math.max(MIN_LATENCY_RATIO, Math.min(MAX_LATENCY_RATIO, ratio));
  }

  private record Sample(Instant at, int inFlight) {}
}
