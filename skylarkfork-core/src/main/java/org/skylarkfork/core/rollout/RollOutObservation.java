package org.skylarkfork.core.rollout;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * What one leader has observed of a running roll-out in its term.
 *
 * <p>Entries count from the start of the roll-out, so their first reports to a new leader hold what
 * was counted under its predecessors.
 */
final class RollOutObservation {

  /** Time in which a result of the new version loses half of its weight. */
  private static final double HALF_LIFE_SECONDS = 3.0;

  /** Maximum age that an entry's report is taken for, so that no time overflows. */
  private static final Duration MAX_AGE = Duration.ofDays(3650);

  /** Age of an entry's report from which its attempts in progress are considered outdated. */
  private static final Duration MAX_REPORT_AGE = Duration.ofSeconds(2);

  /** Minimum time for which an entry has counted before it says how many requests there are. */
  private static final long MIN_COUNTED_MILLIS = 500;

  private final ServiceRollOut rollOut;
  private final Instant since;
  private Instant startedAt;
  private @Nullable Instant stepSince;
  private RollOutPhase phase = RollOutPhase.CANARY;
  private int sessionShare;
  private long exposed;
  private final Map<String, EntryReport> reportByEntry = new HashMap<>();
  private final AnswerStatistics recent = new AnswerStatistics();
  private AnswerStatistics sinceStep = new AnswerStatistics();

  /**
   * The newest report of one run of an entry.
   *
   * @param countsByVersion counts since the start of the roll-out
   * @param target counts of the new version among them
   * @param age for how long the entry has known the roll-out, or null if it reported none
   * @param at time at which the leader received the report
   */
  private record EntryReport(
      long incarnation,
      Map<String, VersionCounts> countsByVersion,
      VersionCounts target,
      @Nullable RollOutAge age,
      Instant at) {

    /** Returns when the entry stopped to send requests to the old version, or null before that. */
    @Nullable Instant movedAt() {
      return age == null || age.movedMillis() <= 0
          ? null
          : at.minusMillis(bounded(age.movedMillis()));
    }

    long sent() {
      return countsByVersion.values().stream().mapToLong(VersionCounts::sent).sum();
    }
  }

  /**
   * Creates an observation without results.
   *
   * @param rollOut the roll-out, in any phase
   * @param since time since which the leader knows of the roll-out
   */
  RollOutObservation(ServiceRollOut rollOut, Instant since) {
    this.rollOut = rollOut;
    this.since = since;
    this.startedAt = since;
  }

  boolean isOf(ServiceRollOut other) {
    return rollOut.isSameAs(other);
  }

  /** Records which step of the roll-out the leader sees. */
  void observeStep(ServiceRollOut seen, Instant now) {
    if (seen.phase() != phase || seen.sessionShare() != sessionShare) {
      phase = seen.phase();
      sessionShare = seen.sessionShare();
      stepSince = now;
      sinceStep = new AnswerStatistics();
    }
  }

  /**
   * Records what a run of an entry has counted since the start of the roll-out.
   *
   * <p>Messages may overtake each other. A report with fewer answers or requests than the one
   * before is older than that and is ignored; its answers would count twice.
   */
  void record(EntryCounts report, Instant now) {
    Map<String, VersionCounts> countsByVersion = countsByVersion(report.counts());
    VersionCounts target = countsByVersion.getOrDefault(rollOut.target(), noCounts());
    EntryReport before = reportByEntry.get(report.entry());
    boolean isSameRun = before != null && before.incarnation == report.incarnation();
    VersionCounts earlier = isSameRun ? before.target() : noCounts();
    if (target.answers() < earlier.answers() || target.sent() < earlier.sent()) {
      return;
    }
    RollOutAge age = recordAge(report.ages(), now);
    reportByEntry.put(
        report.entry(), new EntryReport(report.incarnation(), countsByVersion, target, age, now));
    exposed += target.sent() - earlier.sent();
    add(recent, target, earlier);
    if (isSameRun && stepSince != null) {
      add(sinceStep, target, earlier);
    }
  }

  private static void add(AnswerStatistics sum, VersionCounts newest, VersionCounts earlier) {
    sum.add(VersionTotals.of(newest).minus(VersionTotals.of(earlier)));
    AttemptCounts now = newest.attempts();
    AttemptCounts before = earlier.attempts();
    sum.addUnanswered(
        now.abandoned() - before.abandoned(), now.abandonedMillis() - before.abandonedMillis());
  }

  private VersionCounts noCounts() {
    return new VersionCounts(rollOut.service(), rollOut.target(), 0, 0, 0);
  }

  private Map<String, VersionCounts> countsByVersion(List<VersionCounts> counts) {
    Map<String, VersionCounts> countsByVersion = new HashMap<>();
    for (VersionCounts count : counts) {
      if (count.service().equals(rollOut.service())) {
        countsByVersion.put(count.version(), count);
      }
    }
    return countsByVersion;
  }

  /** Returns the age of the roll-out by an entry's report, or null if it says nothing of it. */
  private @Nullable RollOutAge recordAge(List<RollOutAge> ages, Instant now) {
    for (RollOutAge age : ages) {
      if (age.service().equals(rollOut.service()) && age.startIndex() == rollOut.startIndex()) {
        Instant reportedStart = now.minusMillis(bounded(age.millis()));
        startedAt = reportedStart.isBefore(startedAt) ? reportedStart : startedAt;
        return age;
      }
    }
    return null;
  }

  private static long bounded(long reportedMillis) {
    return Math.max(0, Math.min(reportedMillis, MAX_AGE.toMillis()));
  }

  /** Reduces the weight of recent results for the time that has passed. */
  void decay(Duration passed) {
    recent.scale(Math.pow(0.5, passed.toMillis() / 1000.0 / HALF_LIFE_SECONDS));
  }

  /** Returns the results of the new version, weighted towards the last seconds. */
  AnswerStatistics recent(Instant now) {
    return withPending(recent, now);
  }

  /** Returns the results of the new version that were reported in the present step. */
  AnswerStatistics sinceStep(Instant now) {
    return withPending(sinceStep, now);
  }

  /**
   * Returns the results of the new version that were reported in the present step, as if attempts
   * in progress were answered, but not before they have waited for some time.
   */
  AnswerStatistics sinceStepIfSlow(double minMillis, Instant now) {
    AttemptCounts pending = pending(now);
    double millis = Math.max(pending.waitedMillis(), pending.unanswered() * minMillis);
    return sinceStep.withAnswers(pending.unanswered(), millis);
  }

  private AnswerStatistics withPending(AnswerStatistics results, Instant now) {
    AttemptCounts pending = pending(now);
    return results.withUnanswered(pending.unanswered(), pending.waitedMillis());
  }

  private AttemptCounts pending(Instant now) {
    AttemptCounts pending = AttemptCounts.NONE;
    for (EntryReport report : reportByEntry.values()) {
      if (!now.isAfter(report.at.plus(MAX_REPORT_AGE))) {
        pending = pending.plus(report.target.attempts());
      }
    }
    return pending;
  }

  /** Returns the results of the old version from the start of the roll-out. */
  VersionTotals oldVersion() {
    VersionTotals sum = VersionTotals.NONE;
    for (EntryReport report : reportByEntry.values()) {
      for (VersionCounts counts : report.countsByVersion.values()) {
        if (rollOut.isOldVersion(counts.version())) {
          sum = sum.plus(VersionTotals.of(counts));
        }
      }
    }
    return sum;
  }

  /** Returns the results of the new version from the start of the roll-out. */
  VersionTotals newVersion() {
    VersionTotals sum = VersionTotals.NONE;
    for (EntryReport report : reportByEntry.values()) {
      sum = sum.plus(VersionTotals.of(report.target));
    }
    return sum;
  }

  /** Returns the number of requests that the new version got, answered or not. */
  long exposed() {
    return exposed;
  }

  /**
   * Returns the number of requests to the service in a millisecond. Each entry counts over its own
   * time, since one that restarted has counted for a shorter one.
   */
  double requestsPerMilli(Instant now) {
    double sum = 0;
    for (EntryReport report : reportByEntry.values()) {
      long millis = report.age == null ? age(now).toMillis() : bounded(report.age.millis());
      sum += (double) report.sent() / Math.max(MIN_COUNTED_MILLIS, millis);
    }
    return sum;
  }

  /** Returns the time since the start of the roll-out, as far as this leader or an entry knows. */
  Duration age(Instant now) {
    return Duration.between(startedAt, now);
  }

  /** Returns the time since the leader first saw the roll-out. */
  Duration watched(Instant now) {
    return Duration.between(since, now);
  }

  /** Returns the time since the leader first saw the present step; zero before the first one. */
  Duration watchedStep(Instant now) {
    return stepSince == null ? Duration.ZERO : Duration.between(stepSince, now);
  }

  /**
   * Returns the time since the last entry stopped to send requests to the old version; zero if some
   * entry still does or said nothing of it.
   */
  Duration reportedMove(Instant now) {
    Instant last = Instant.MIN;
    for (EntryReport report : reportByEntry.values()) {
      Instant movedAt = report.movedAt();
      if (movedAt == null || movedAt.isAfter(now)) {
        return Duration.ZERO;
      }
      last = movedAt.isAfter(last) ? movedAt : last;
    }
    return reportByEntry.isEmpty() ? Duration.ZERO : Duration.between(last, now);
  }

  /** Returns whether each entry has reported that it moved and that the old version is unused. */
  boolean isOldVersionUnused() {
    for (EntryReport report : reportByEntry.values()) {
      if (report.movedAt() == null || hasOpenAttemptAtOldVersion(report)) {
        return false;
      }
    }
    return !reportByEntry.isEmpty();
  }

  private boolean hasOpenAttemptAtOldVersion(EntryReport report) {
    return report.countsByVersion.values().stream()
        .anyMatch(counts -> rollOut.isOldVersion(counts.version()) && counts.attempts().open() > 0);
  }
}
