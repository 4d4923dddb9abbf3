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

  private final ServiceRollOut rollOut;
  private final Instant since;
  private Instant startedAt;
  private @Nullable Instant movingSince;
  private final Map<String, EntryReport> reportByEntry = new HashMap<>();
  private final AnswerStatistics recent = new AnswerStatistics();
  private final AnswerStatistics sinceMove = new AnswerStatistics();

  /**
   * The newest report of one run of an entry.
   *
   * @param totalsByVersion counts since the start of the roll-out
   * @param target counts of the new version among them
   * @param movedAt time at which the entry stopped to send requests to the old version, {@link
   *     Instant#MAX} if it still does; null if it reported no age
   */
  private record EntryReport(
      long incarnation,
      Map<String, VersionTotals> totalsByVersion,
      VersionTotals target,
      @Nullable Instant movedAt) {}

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

  /** Records that the leader sees the roll-out in a phase. */
  void observePhase(RollOutPhase phase, Instant now) {
    if (phase == RollOutPhase.MOVING && movingSince == null) {
      movingSince = now;
    }
  }

  /**
   * Records what a run of an entry has counted since the start of the roll-out.
   *
   * <p>Messages may overtake each other. A report with fewer answers than the one before is older
   * than that and is ignored; its answers would count twice.
   */
  void record(EntryCounts report, Instant now) {
    Map<String, VersionTotals> totalsByVersion = totalsByVersion(report.counts());
    VersionTotals target = totalsByVersion.getOrDefault(rollOut.target(), VersionTotals.NONE);
    EntryReport before = reportByEntry.get(report.entry());
    boolean isSameRun = before != null && before.incarnation == report.incarnation();
    VersionTotals earlier = isSameRun ? before.target() : VersionTotals.NONE;
    if (target.answers() < earlier.answers()) {
      return;
    }
    reportByEntry.put(
        report.entry(),
        new EntryReport(
            report.incarnation(), totalsByVersion, target, recordAge(report.ages(), now)));
    VersionTotals added = target.minus(earlier);
    recent.add(added);
    if (isSameRun && movingSince != null) {
      sinceMove.add(added);
    }
  }

  private Map<String, VersionTotals> totalsByVersion(List<VersionCounts> counts) {
    Map<String, VersionTotals> totalsByVersion = new HashMap<>();
    for (VersionCounts count : counts) {
      if (count.service().equals(rollOut.service())) {
        totalsByVersion.put(count.version(), VersionTotals.of(count));
      }
    }
    return totalsByVersion;
  }

  /** Returns the time of the move by an entry's report, or null if it says nothing of it. */
  private @Nullable Instant recordAge(List<RollOutAge> ages, Instant now) {
    for (RollOutAge age : ages) {
      if (age.service().equals(rollOut.service()) && age.startIndex() == rollOut.startIndex()) {
        Instant reportedStart = now.minusMillis(bounded(age.millis()));
        startedAt = reportedStart.isBefore(startedAt) ? reportedStart : startedAt;
        return age.movedMillis() <= 0 ? Instant.MAX : now.minusMillis(bounded(age.movedMillis()));
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
  AnswerStatistics recent() {
    return recent;
  }

  /** Returns the results of the new version that were reported while all requests went to it. */
  AnswerStatistics sinceMove() {
    return sinceMove;
  }

  /** Returns the results of the old version from the start of the roll-out. */
  VersionTotals oldVersion() {
    VersionTotals sum = VersionTotals.NONE;
    for (EntryReport report : reportByEntry.values()) {
      for (Map.Entry<String, VersionTotals> version : report.totalsByVersion.entrySet()) {
        if (rollOut.isOldVersion(version.getKey())) {
          sum = sum.plus(version.getValue());
        }
      }
    }
    return sum;
  }

  /** Returns the results of the new version from the start of the roll-out. */
  VersionTotals newVersion() {
    VersionTotals sum = VersionTotals.NONE;
    for (EntryReport report : reportByEntry.values()) {
      sum = sum.plus(report.target);
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

  /** Returns the time since the leader first saw the move; zero before. */
  Duration watchedMove(Instant now) {
    return movingSince == null ? Duration.ZERO : Duration.between(movingSince, now);
  }

  /**
   * Returns the time since the last entry stopped to send requests to the old version; zero if some
   * entry still does or said nothing of it.
   */
  Duration reportedMove(Instant now) {
    Instant last = Instant.MIN;
    for (EntryReport report : reportByEntry.values()) {
      if (report.movedAt == null || report.movedAt.isAfter(now)) {
        return Duration.ZERO;
      }
      last = report.movedAt.isAfter(last) ? report.movedAt : last;
    }
    return reportByEntry.isEmpty() ? Duration.ZERO : Duration.between(last, now);
  }
}
