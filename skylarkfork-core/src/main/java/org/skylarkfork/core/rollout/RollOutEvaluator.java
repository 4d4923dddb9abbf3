package org.skylarkfork.core.rollout;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.rollout.RollOutDecision.Reason;
import org.skylarkfork.core.rollout.VersionComparison.Outcome;

/**
 * Decides on running roll-outs, at the leader of the control VMs.
 *
 * <p>A new version is declared good only by a comparison: it answered requests after the move, and
 * the results of the old version are known. What a leader lacks for that comes from the replicated
 * roll-out and from the entries, both of which outlive the leader. The new version's results are
 * weighted towards the last seconds, so that a late failure is not hidden by earlier good results.
 */
public final class RollOutEvaluator {

  /** Minimum number of timed answers of the new version at the deadline, if there aren't more. */
  private static final int MIN_TIMED_ANSWERS_AT_DEADLINE = 3;

  /** Time before the deadline at which a decision is due, for its replication. */
  private static final Duration DEADLINE_MARGIN = Duration.ofMillis(500);

  /** Minimum time for which a leader watches the new version, so that all entries report to it. */
  private static final Duration MIN_WATCHED_TIME = Duration.ofSeconds(2);

  private final Map<String, RollOutObservation> observationByService = new HashMap<>();
  private final RollOutSettings settings;
  private Instant agedAt = Instant.EPOCH;

  /** Creates an evaluator that has observed nothing. */
  public RollOutEvaluator(RollOutSettings settings) {
    this.settings = settings;
  }

  /** Discards all observations, since another leader may have led in the meantime. */
  public void startTerm(Instant now) {
    observationByService.clear();
    agedAt = now;
  }

  /**
   * Records what an entry reports.
   *
   * <p>An entry restarts its counts when it learns that a roll-out has started. Counts of an entry
   * that doesn't know of it yet may come from an earlier roll-out and are ignored.
   *
   * @param report the entry's report
   * @param rollOuts newest roll-out of each service
   * @param now the present time
   */
  public void record(EntryCounts report, List<ServiceRollOut> rollOuts, Instant now) {
    for (ServiceRollOut rollOut : rollOuts) {
      if (rollOut.isRunning() && report.stateIndex() >= rollOut.startIndex()) {
        observation(rollOut, now).record(report, now);
      }
    }
  }

  private RollOutObservation observation(ServiceRollOut rollOut, Instant now) {
    RollOutObservation known = observationByService.get(rollOut.service());
    if (known == null || !known.isOf(rollOut)) {
      known = new RollOutObservation(rollOut, now);
      observationByService.put(rollOut.service(), known);
    }
    known.observePhase(rollOut.phase(), now);
    return known;
  }

  /** Reduces the weight of recent results for the time since the last call or the term's start. */
  public void age(Instant now) {
    Duration passed = Duration.between(agedAt, now);
    observationByService.values().forEach(observation -> observation.decay(passed));
    agedAt = now;
  }

  /** Returns the decision on a roll-out, or null if it stays in its phase. */
  public @Nullable RollOutDecision decide(ServiceRollOut rollOut, Instant now) {
    if (!rollOut.isRunning()) {
      observationByService.remove(rollOut.service());
      return null;
    }
    RollOutObservation observed = observation(rollOut, now);
    VersionTotals baseline = baseline(rollOut, observed);
    Outcome recent =
        VersionComparison.compare(
            observed.recent(), new AnswerStatistics(baseline), VersionComparison.MIN_TIMED_ANSWERS);
    if (recent == Outcome.WORSE) {
      return new RollOutDecision(RollOutPhase.ROLLED_BACK, Reason.WORSE, baseline);
    }
    return rollOut.phase() == RollOutPhase.CANARY
        ? decideCanary(rollOut, observed, baseline, now)
        : decideMoving(rollOut, observed, baseline, now);
  }

  /**
   * Returns the results of the old version until the move, or until now if they weren't replicated.
   */
  private static VersionTotals baseline(ServiceRollOut rollOut, RollOutObservation observed) {
    VersionTotals replicated = rollOut.baseline();
    return replicated == null ? observed.oldVersion() : replicated;
  }

  private @Nullable RollOutDecision decideCanary(
      ServiceRollOut rollOut, RollOutObservation observed, VersionTotals baseline, Instant now) {
    long ageMillis = observed.age(now).toMillis();
    if (ageMillis < settings.moveAfterMillis(rollOut.deadlineMillis())) {
      return null;
    }
    boolean isBaselineKnown = isMeasured(baseline) || isSilent(baseline, observed.newVersion());
    if (isBaselineKnown) {
      return new RollOutDecision(RollOutPhase.MOVING, Reason.CANARY_ENDED, baseline);
    }
    boolean isOverdue = isOverdue(rollOut, observed, now) && isLong(observed.watched(now));
    return isOverdue
        ? new RollOutDecision(RollOutPhase.ROLLED_BACK, Reason.NOT_COMPARED, baseline)
        : null;
  }

  private @Nullable RollOutDecision decideMoving(
      ServiceRollOut rollOut, RollOutObservation observed, VersionTotals baseline, Instant now) {
    if (!isOldVersionFinished(observed, now)) {
      return null;
    }
    boolean isOverdue = isOverdue(rollOut, observed, now);
    int minAnswers =
        isOverdue ? MIN_TIMED_ANSWERS_AT_DEADLINE : VersionComparison.MIN_TIMED_ANSWERS;
    boolean isTried = observed.sinceMove().timedAnswers() >= minAnswers;
    Outcome outcome =
        VersionComparison.compare(sample(observed), new AnswerStatistics(baseline), minAnswers);
    if (outcome == Outcome.WORSE) {
      return new RollOutDecision(RollOutPhase.ROLLED_BACK, Reason.WORSE, baseline);
    }
    if (isTried && outcome == Outcome.NOT_WORSE) {
      return new RollOutDecision(RollOutPhase.SUCCEEDED, Reason.AS_GOOD, baseline);
    }
    if (isTried && isOldVersionSilent(rollOut)) {
      return new RollOutDecision(RollOutPhase.SUCCEEDED, Reason.OLD_VERSION_SILENT, baseline);
    }
    return isOverdue
        ? new RollOutDecision(RollOutPhase.ROLLED_BACK, Reason.NOT_COMPARED, baseline)
        : null;
  }

  /** Returns the newest results of the new version that suffice for a comparison. */
  private static AnswerStatistics sample(RollOutObservation observed) {
    boolean hasRecent = observed.recent().timedAnswers() >= VersionComparison.MIN_TIMED_ANSWERS;
    return hasRecent ? observed.recent() : observed.sinceMove();
  }

  /**
   * Returns whether the old version is known not to have answered before the move. Without a
   * replicated baseline it isn't known.
   */
  private static boolean isOldVersionSilent(ServiceRollOut rollOut) {
    VersionTotals replicated = rollOut.baseline();
    return replicated != null && !isMeasured(replicated);
  }

  private static boolean isMeasured(VersionTotals oldVersion) {
    return oldVersion.timedAnswers() >= VersionComparison.MIN_TIMED_ANSWERS;
  }

  /**
   * Returns whether the old version doesn't answer, though it receives most requests of the canary
   * phase.
   */
  private static boolean isSilent(VersionTotals oldVersion, VersionTotals newVersion) {
    long answers = oldVersion.answers() + newVersion.answers();
    return answers >= 2 * VersionComparison.MIN_TIMED_ANSWERS && !isMeasured(oldVersion);
  }

  private static boolean isOverdue(
      ServiceRollOut rollOut, RollOutObservation observed, Instant now) {
    Duration age = observed.age(now).plus(DEADLINE_MARGIN);
    return age.toMillis() >= rollOut.deadlineMillis();
  }

  /** Returns whether requests on the old version had the time to finish. */
  private boolean isOldVersionFinished(RollOutObservation observed, Instant now) {
    Duration watched = observed.watchedMove(now);
    boolean isReported = isLong(observed.reportedMove(now));
    return isLong(watched) || isReported && watched.compareTo(MIN_WATCHED_TIME) >= 0;
  }

  /** Returns whether a time is as long as requests on the old version take to finish. */
  private boolean isLong(Duration time) {
    return time.compareTo(settings.drain()) >= 0;
  }

  /** Describes the results by which a roll-out is decided at present, for the log. */
  public String describe(ServiceRollOut rollOut, Instant now) {
    RollOutObservation observed = observation(rollOut, now);
    return "recent="
        + observed.recent()
        + " since_move="
        + observed.sinceMove()
        + " old="
        + new AnswerStatistics(baseline(rollOut, observed))
        + " old_from="
        + (rollOut.baseline() == null ? "entries" : "log")
        + " age_ms="
        + observed.age(now).toMillis()
        + " watched_ms="
        + observed.watched(now).toMillis()
        + " moved_ms="
        + observed.reportedMove(now).toMillis();
  }
}
