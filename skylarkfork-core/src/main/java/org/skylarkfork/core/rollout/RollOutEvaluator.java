package org.skylarkfork.core.rollout;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Decides on running roll-outs from the entries' statistics of each version.
 *
 * <p>The new version's statistics are weighted towards the last seconds, so that a late failure is
 * not hidden by earlier good results. The old version's statistics cover its whole time, since it
 * gets few requests at the end.
 */
public final class RollOutEvaluator {

  private static final double HALF_LIFE_SECONDS = 3.0;

  /** Minimum number of failures for a rollback; fewer are too often due to chance. */
  private static final double MIN_FAILURES = 4.0;

  /** Minimum number of timed answers of each version for a comparison of latency. */
  private static final double MIN_TIMED_ANSWERS = 14.0;

  /** Ratio of mean latencies above which the new version is bad; a new engine is cold at first. */
  private static final double MAX_LATENCY_RATIO = 2.5;

  /** Minimum expected failure rate, which also stands in for an old version without statistics. */
  private static final double MIN_EXPECTED_FAILURE_RATE = 0.02;

  private static final double MAX_STANDARD_DEVIATIONS = 3.0;

  private final Map<String, Statistics> recentByVersion = new HashMap<>();
  private final Map<String, Statistics> totalByVersion = new HashMap<>();
  private final Map<String, Instant> startedAtByRollOut = new HashMap<>();
  private final Map<String, Instant> movedAtByRollOut = new HashMap<>();
  private final RollOutSettings settings;

  /** Creates an evaluator without statistics. */
  public RollOutEvaluator(RollOutSettings settings) {
    this.settings = settings;
  }

  /**
   * Adds the difference between two successive polls of an entry; {@code before} is null for the
   * first.
   */
  public void add(VersionCounts now, @Nullable VersionCounts before) {
    long answers = now.answers() - (before == null ? 0 : before.answers());
    if (answers <= 0) {
      return;
    }
    long failures = now.failures() - (before == null ? 0 : before.failures());
    long millis = now.firstByteMillis() - (before == null ? 0 : before.firstByteMillis());
    String key = key(now.service(), now.version());
    recentByVersion
        .computeIfAbsent(key, missing -> new Statistics())
        .add(answers, failures, millis);
    totalByVersion.computeIfAbsent(key, missing -> new Statistics()).add(answers, failures, millis);
  }

  /** Decays the recent statistics for the time that has passed. */
  public void age(Duration passed) {
    double decay = Math.pow(0.5, passed.toMillis() / 1000.0 / HALF_LIFE_SECONDS);
    recentByVersion.values().forEach(statistics -> statistics.scale(decay));
  }

  /** Returns the phase that a running roll-out should enter, or null if it stays in its phase. */
  public @Nullable RollOutPhase nextPhase(ServiceRollOut rollOut, Instant now) {
    String id = key(rollOut.service(), rollOut.target());
    Instant startedAt = startedAtByRollOut.computeIfAbsent(id, missing -> now);
    if (isBad(rollOut)) {
      return RollOutPhase.ROLLED_BACK;
    }
    Duration age = Duration.between(startedAt, now);
    if (rollOut.phase() == RollOutPhase.CANARY) {
      return age.toMillis() >= settings.moveAfterMillis(rollOut.deadlineMillis())
          ? RollOutPhase.MOVING
          : null;
    }
    Instant movedAt = movedAtByRollOut.computeIfAbsent(id, missing -> now);
    boolean drained = !now.isBefore(movedAt.plus(settings.drain()));
    return drained ? RollOutPhase.SUCCEEDED : null;
  }

  /** Describes the statistics by which a roll-out is decided at present, for the log. */
  public String describe(ServiceRollOut rollOut) {
    Statistics target = recentByVersion.get(key(rollOut.service(), rollOut.target()));
    return "recent=" + (target == null ? new Statistics() : target) + " others=" + others(rollOut);
  }

  private boolean isBad(ServiceRollOut rollOut) {
    Statistics target = recentByVersion.get(key(rollOut.service(), rollOut.target()));
    if (target == null) {
      return false;
    }
    Statistics others = others(rollOut);
    return failsMoreOften(target, others) || isSlower(target, others);
  }

  private Statistics others(ServiceRollOut rollOut) {
    Statistics others = new Statistics();
    String prefix = key(rollOut.service(), "");
    totalByVersion.forEach(
        (key, statistics) -> {
          if (key.startsWith(prefix) && !key.equals(prefix + rollOut.target())) {
            others.add(statistics.answers, statistics.failures, statistics.millis);
          }
        });
    return others;
  }

  private static boolean failsMoreOften(Statistics target, Statistics others) {
    double failureRate =
        others.answers < 1
            ? MIN_EXPECTED_FAILURE_RATE
            : Math.max(MIN_EXPECTED_FAILURE_RATE, others.failures / others.answers);
    double expected = target.answers * failureRate;
    return target.failures >= MIN_FAILURES
        && target.failures > expected + MAX_STANDARD_DEVIATIONS * Math.sqrt(expected);
  }

  private static boolean isSlower(Statistics target, Statistics others) {
    if (target.timedAnswers() < MIN_TIMED_ANSWERS || others.timedAnswers() < MIN_TIMED_ANSWERS) {
      return false;
    }
    return target.meanMillis() > MAX_LATENCY_RATIO * others.meanMillis();
  }

  private static String key(String service, String version) {
    return service + "\n" + version;
  }

  private static final class Statistics {
    private double answers;
    private double failures;
    private double millis;

    private void add(double moreAnswers, double moreFailures, double moreMillis) {
      answers += moreAnswers;
      failures += moreFailures;
      millis += moreMillis;
    }

    private void scale(double factor) {
      answers *= factor;
      failures *= factor;
      millis *= factor;
    }

    private double timedAnswers() {
      return answers - failures;
    }

    private double meanMillis() {
      return millis / timedAnswers();
    }

    /** Returns the number of answers, the number of failures and the mean in milliseconds. */
    @Override
    public String toString() {
      long mean = timedAnswers() > 0 ? Math.round(meanMillis()) : 0;
      return Math.round(answers) + "/" + Math.round(failures) + "/" + mean + "ms";
    }
  }
}
