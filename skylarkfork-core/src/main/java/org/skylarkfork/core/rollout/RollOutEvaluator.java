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
 * <p>A version goes from one share of the requests to the next by what it answered at the one
 * before, and gets no more requests than the exposure limit allows until it has proved good.
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

  /** Time before the deadline from which an old version that no entry uses isn't waited for. */
  private static final Duration UNUSED_MARGIN = Duration.ofMillis(1500);

  /** Minimum time for which a leader watches the new version, so that all entries report to it. */
  private static final Duration MIN_WATCHED_TIME = Duration.ofSeconds(2);

  /** Share of the roll-out's time from which few answers prove a version that gets few requests. */
  private static final double LATE_SHARE = 0.75;

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
    known.observeStep(rollOut, now);
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
            observed.recent(now),
            new AnswerStatistics(baseline),
            VersionComparison.MIN_TIMED_ANSWERS);
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
    if (ageMillis < settings.sessionsAfterMillis(rollOut.deadlineMillis())) {
      return null;
    }
    boolean isWatched = observed.watched(now).compareTo(MIN_WATCHED_TIME) >= 0;
    boolean isBaselineKnown = isMeasured(baseline) || isSilent(baseline, observed.newVersion());
    if (isBaselineKnown && isWatched) {
      return rollOut.sessionShare() == 0
          ? beginTrial(rollOut, observed, baseline, now)
          : decideTrial(rollOut, observed, baseline, now);
    }
    boolean isOverdue = isOverdue(rollOut, observed, now) && isLong(observed.watched(now));
    return isOverdue
        ? new RollOutDecision(RollOutPhase.ROLLED_BACK, Reason.NOT_COMPARED, baseline)
        : null;
  }

  /**
   * Sends some sessions to the new version, or all if so few requests are left until the deadline
   * that all of them may be exposed.
   */
  private RollOutDecision beginTrial(
      ServiceRollOut rollOut, RollOutObservation observed, VersionTotals baseline, Instant now) {
    ExposureBudget budget = budget(rollOut, observed, now);
    long deadlineMillis = rollOut.deadlineMillis();
    if (budget.covers((double) deadlineMillis - settings.sessionsAfterMillis(deadlineMillis))) {
      return new RollOutDecision(RollOutPhase.MOVING, Reason.FEW_REQUESTS, baseline);
    }
    double trialMillis = ExposureBudget.detectionMillis(oldMeanMillis(baseline));
    double share = budget.sessionShare(trialMillis, settings.canaryShare());
    return new RollOutDecision(
        RollOutPhase.CANARY,
        Reason.TRIAL_BEGAN,
        baseline,
        (int) (share * ServiceRollOut.SESSION_PARTS));
  }

  private @Nullable RollOutDecision decideTrial(
      ServiceRollOut rollOut, RollOutObservation observed, VersionTotals baseline, Instant now) {
    if (isProvenByTrial(rollOut, observed, baseline, now)) {
      return new RollOutDecision(RollOutPhase.MOVING, Reason.CANARY_ENDED, baseline);
    }
    ExposureBudget budget = budget(rollOut, observed, now);
    if (budget.isSpent((double) rollOut.sessionShare() / ServiceRollOut.SESSION_PARTS)) {
      return new RollOutDecision(RollOutPhase.ROLLED_BACK, Reason.EXPOSURE_SPENT, baseline);
    }
    boolean isOverdue = isOverdue(rollOut, observed, now) && isLong(observed.watchedStep(now));
    return isOverdue
        ? new RollOutDecision(RollOutPhase.ROLLED_BACK, Reason.NOT_COMPARED, baseline)
        : null;
  }

  /**
   * Returns whether the new version answered well in the trial, even if all attempts in progress
   * turn out to be slow. While there is time, a version in between is tried further; late in the
   * trial few answers suffice.
   */
  private static boolean isProvenByTrial(
      ServiceRollOut rollOut, RollOutObservation observed, VersionTotals baseline, Instant now) {
    boolean isLate = observed.age(now).toMillis() >= LATE_SHARE * rollOut.deadlineMillis();
    int minAnswers = isLate ? MIN_TIMED_ANSWERS_AT_DEADLINE : VersionComparison.MIN_TIMED_ANSWERS;
    if (observed.sinceStep(now).timedAnswers() < minAnswers) {
      return false;
    }
    double slowMillis = ExposureBudget.slowMillis(oldMeanMillis(baseline));
    AnswerStatistics old = new AnswerStatistics(baseline);
    AnswerStatistics trial = observed.sinceStepIfSlow(slowMillis, now);
    Outcome outcome = VersionComparison.compare(trial, old, minAnswers);
    if (!isMeasured(baseline)) {
      return outcome == Outcome.UNKNOWN;
    }
    return outcome == Outcome.NOT_WORSE && (isLate || VersionComparison.isClearlyGood(trial, old));
  }

  private ExposureBudget budget(ServiceRollOut rollOut, RollOutObservation observed, Instant now) {
    double perMilli = observed.requestsPerMilli(now);
    double allowed = settings.exposure().allowed(perMilli, rollOut.deadlineMillis());
    return new ExposureBudget(allowed, observed.exposed(), perMilli);
  }

  private static double oldMeanMillis(VersionTotals baseline) {
    AnswerStatistics old = new AnswerStatistics(baseline);
    return old.timedAnswers() > 0 ? old.meanMillis() : 0;
  }

  private @Nullable RollOutDecision decideMoving(
      ServiceRollOut rollOut, RollOutObservation observed, VersionTotals baseline, Instant now) {
    boolean isOverdue = isOverdue(rollOut, observed, now);
    if (!isOldVersionFinished(rollOut, observed, now)) {
      return null;
    }
    int minAnswers =
        isOverdue ? MIN_TIMED_ANSWERS_AT_DEADLINE : VersionComparison.MIN_TIMED_ANSWERS;
    boolean isTried = observed.sinceStep(now).timedAnswers() >= minAnswers;
    Outcome outcome =
        VersionComparison.compare(
            sample(observed, now), new AnswerStatistics(baseline), minAnswers);
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
  private static AnswerStatistics sample(RollOutObservation observed, Instant now) {
    AnswerStatistics recent = observed.recent(now);
    boolean hasRecent = recent.timedAnswers() >= VersionComparison.MIN_TIMED_ANSWERS;
    return hasRecent ? recent : observed.sinceStep(now);
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

  /**
   * Returns whether requests on the old version had the time to finish. Shortly before the deadline
   * it suffices that the entries report none.
   */
  private boolean isOldVersionFinished(
      ServiceRollOut rollOut, RollOutObservation observed, Instant now) {
    Duration watched = observed.watchedStep(now);
    Duration age = observed.age(now).plus(UNUSED_MARGIN);
    boolean isDueSoon = age.toMillis() >= rollOut.deadlineMillis();
    boolean isReported =
        isLong(observed.reportedMove(now)) || isDueSoon && observed.isOldVersionUnused();
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
        + observed.recent(now)
        + " since_step="
        + observed.sinceStep(now)
        + " old="
        + new AnswerStatistics(baseline(rollOut, observed))
        + " old_from="
        + (rollOut.baseline() == null ? "entries" : "log")
        + " sessions="
        + rollOut.sessionShare()
        + " exposed="
        + observed.exposed()
        + " allowed="
        + Math.round(budget(rollOut, observed, now).allowed())
        + " age_ms="
        + observed.age(now).toMillis()
        + " watched_ms="
        + observed.watched(now).toMillis()
        + " moved_ms="
        + observed.reportedMove(now).toMillis();
  }
}
