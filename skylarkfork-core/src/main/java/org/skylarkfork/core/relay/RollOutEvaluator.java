package org.skylarkfork.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Decides on the running roll-outs from what the entries see of each version.
 *
 * <p>A new version is compared with the old one over the newest seconds, so that one that turns bad
 * late isn't hidden by its good past. The old version is judged over all of its past, since it gets
 * little work at the end.
 */
final class RollOutEvaluator {

  private static final double HALF_LIFE_SECONDS = 3.0;

  /** Failures from which on a verdict is given; fewer are chance too often. */
  private static final double LEAST_FAILURES = 4.0;

  /** Answers from which on times are compared. */
  private static final double LEAST_TIMED = 14.0;

  /** How many times slower than the old version counts as bad; a new engine is cold at first. */
  private static final double SLOWER = 2.5;

  /** Failures of a version with no past, as a share. */
  private static final double ASSUMED_FAILURES = 0.02;

  private static final double DEVIATIONS = 3.0;

  private final Map<String, Sums> newest = new HashMap<>();
  private final Map<String, Sums> past = new HashMap<>();
  private final Map<String, Instant> begun = new HashMap<>();
  private final Map<String, Instant> moving = new HashMap<>();
  private final RollOutSettings settings;

  RollOutEvaluator(RollOutSettings settings) {
    this.settings = settings;
  }

  /** Adds what an entry saw since its poll before. */
  void add(VersionCounts now, @Nullable VersionCounts before) {
    long answers = now.answers() - (before == null ? 0 : before.answers());
    if (answers <= 0) {
      return;
    }
    long failures = now.failures() - (before == null ? 0 : before.failures());
    long millis = now.firstByteMillis() - (before == null ? 0 : before.firstByteMillis());
    String key = key(now.service(), now.version());
    newest.computeIfAbsent(key, missing -> new Sums()).add(answers, failures, millis);
    past.computeIfAbsent(key, missing -> new Sums()).add(answers, failures, millis);
  }

  /** Lets what was seen before count less. */
  void age(Duration passed) {
    double kept = Math.pow(0.5, passed.toMillis() / 1000.0 / HALF_LIFE_SECONDS);
    newest.values().forEach(sums -> sums.scale(kept));
  }

  /** Returns the phase that a running roll-out should enter now, or null to stay. */
  @Nullable RollOutPhase nextPhase(ServiceRollOut rollOut, Instant now) {
    String id = key(rollOut.service(), rollOut.target());
    Instant begunAt = begun.computeIfAbsent(id, missing -> now);
    if (bad(rollOut)) {
      return RollOutPhase.ROLLED_BACK;
    }
    Duration age = Duration.between(begunAt, now);
    if (rollOut.phase() == RollOutPhase.CANARY) {
      return age.toMillis() >= settings.moveAfterMillis(rollOut.deadlineMillis())
          ? RollOutPhase.MOVING
          : null;
    }
    Instant movingAt = moving.computeIfAbsent(id, missing -> now);
    boolean drained = !now.isBefore(movingAt.plus(settings.drain()));
    return drained ? RollOutPhase.SUCCEEDED : null;
  }

  private boolean bad(ServiceRollOut rollOut) {
    Sums target = newest.get(key(rollOut.service(), rollOut.target()));
    if (target == null) {
      return false;
    }
    Sums others = new Sums();
    String prefix = key(rollOut.service(), "");
    past.forEach(
        (key, sums) -> {
          if (key.startsWith(prefix) && !key.equals(prefix + rollOut.target())) {
            others.add(sums.answers, sums.failures, sums.millis);
          }
        });
    return failsMore(target, others) || slower(target, others);
  }

  private static boolean failsMore(Sums target, Sums others) {
    double share =
        others.answers < 1
            ? ASSUMED_FAILURES
            : Math.max(ASSUMED_FAILURES, others.failures / others.answers);
    double expected = target.answers * share;
    return target.failures >= LEAST_FAILURES
        && target.failures > expected + DEVIATIONS * Math.sqrt(expected);
  }

  private static boolean slower(Sums target, Sums others) {
    if (target.timed() < LEAST_TIMED || others.timed() < LEAST_TIMED) {
      return false;
    }
    return target.meanMillis() > SLOWER * others.meanMillis();
  }

  private static String key(String service, String version) {
    return service + "\n" + version;
  }

  private static final class Sums {
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

    private double timed() {
      return answers - failures;
    }

    private double meanMillis() {
      return millis / timed();
    }
  }
}
