package org.skylarkfork.core.fairshare;

import java.time.Duration;
import java.time.Instant;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.IntSupplier;
import org.jspecify.annotations.Nullable;

/**
 * The work that teams were granted recently at a group of engines, and the fair level of it.
 *
 * <p>Work is prefill time. It decays with a half-life of 2 s, so that a burst counts within about
 * this time and is forgotten within a few times of it. Requests without a team count as those of
 * one further team.
 */
final class TeamShares {

  /** Number of ranks by which an attempt is moved back at the most. */
  static final int MAX_SHIFT = 3;

  /** Number of teams that are kept; the least recently used one is evicted. */
  static final int MAX_TEAMS = 1024;

  /** Last rank that changes a weight; engines distinguish no further ones. */
  private static final int LAST_RANK = 9;

  private static final double HALF_LIFE_MILLIS = 2000;

  /** Mean age of decaying work: the time over which a constant rate adds up to what is recorded. */
  private static final double WINDOW_MILLIS = HALF_LIFE_MILLIS / Math.log(2);

  /**
   * Part of the engines' time that is divided. Prompts arrive at random times, so that queues form
   * at engines that are busy for more than about this part of the time. In virtual time, with one
   * team at 30 times its usual rate, 0.04 to 0.12 of the others' requests were late at 0.7, 0.08 to
   * 0.13 at 0.8 and 0.11 to 0.21 at 0.9, and 0.14 to 0.33 without shares.
   */
  private static final double USABLE_PART = 0.7;

  /** Time after which a team without grants is forgotten; its work has decayed to a thirtieth. */
  private static final Duration IDLE_TIME = Duration.ofSeconds(10);

  /**
   * Time of observation before which nobody is over a share. Until then a team has few requests,
   * and the size of one of them would decide.
   */
  private static final double MIN_OBSERVED_MILLIS = 500;

  /**
   * Age up to which a level is used. The division is linear in the number of teams, while the level
   * changes by less than a fiftieth within this time.
   */
  private static final Duration LEVEL_AGE = Duration.ofMillis(50);

  /** Half-lives after which recorded work is rescaled, long before a double overflows. */
  private static final double MAX_HALF_LIVES = 512;

  private final Map<String, Usage> teams = new LinkedHashMap<>(64, 0.75f, true);
  private final double[] demands = new double[MAX_TEAMS];
  private final double[] weights = new double[MAX_TEAMS];
  private Instant scaleOrigin = Instant.EPOCH;
  private @Nullable Instant observedSince;
  private @Nullable Instant levelAt;
  private double level = Double.POSITIVE_INFINITY;
  private double capacity;
  private double total;
  private double weightSum;
  private double unshiftedLoad;

  /**
   * Work of one team, multiplied by two to the power of the half-lives between {@code scaleOrigin}
   * and its grant. Work of different times can then be added and compared without decaying each.
   */
  private static final class Usage {
    double work;

    /** Work divided by the weight of the rank with which it was requested. */
    double weightedWork;

    Instant grantedAt = Instant.EPOCH;
    Instant reportedAt = Instant.EPOCH;
  }

  /**
   * Records work that a team was granted.
   *
   * @param team name of the team, or empty for requests without one
   * @param rank rank of the request; each rank halves the team's weight for this work
   * @param workMillis expected prefill time in milliseconds
   * @param now the present time
   */
  void recordGrant(String team, int rank, double workMillis, Instant now) {
    if (observedSince == null) {
      observedSince = now;
    }
    rescale(now);
    Usage usage = teams.computeIfAbsent(team, missing -> new Usage());
    double scaled = workMillis * scale(now);
    usage.work += scaled;
    usage.weightedWork += scaled / weight(rank);
    usage.grantedAt = now;
    if (teams.size() > MAX_TEAMS) {
      Iterator<Usage> leastRecent = teams.values().iterator();
      leastRecent.next();
      leastRecent.remove();
    }
  }

  private static double weight(int rank) {
    return Math.scalb(1.0, -Math.max(0, Math.min(LAST_RANK, rank)));
  }

  private double scale(Instant now) {
    return Math.pow(2, halfLives(now));
  }

  private double halfLives(Instant now) {
    return Duration.between(scaleOrigin, now).toMillis() / HALF_LIFE_MILLIS;
  }

  private void rescale(Instant now) {
    if (halfLives(now) > MAX_HALF_LIVES) {
      double factor = 1 / scale(now);
      for (Usage usage : teams.values()) {
        usage.work *= factor;
        usage.weightedWork *= factor;
      }
      scaleOrigin = now;
    }
  }

  /**
   * Returns a team's position. A team is shifted by one rank for each whole doubling of the fair
   * level that its work has reached.
   *
   * @param team name of the team, or empty for requests without one
   * @param engines number of engines whose time is divided, which is asked for when the level is
   *     computed
   * @param now the present time
   */
  TeamShare shareOf(String team, IntSupplier engines, Instant now) {
    Usage usage = teams.get(team);
    if (usage == null || usage.work == 0 || teams.size() < 2 || !isObserved(now)) {
      return TeamShare.NOT_OVER;
    }
    rescale(now);
    updateLevel(engines, now);
    double decay = 1 / scale(now);
    double ownLevel = levelFor(usage, decay);
    double multiple = usage.weightedWork * decay / ownLevel;
    int shift = multiple < 2 ? 0 : Math.min(MAX_SHIFT, Math.getExponent(multiple));
    return new TeamShare(Math.min(1, usage.work * decay / total), ownLevel / capacity, shift);
  }

  private boolean isObserved(Instant now) {
    return observedSince != null && observedMillis(observedSince, now) >= MIN_OBSERVED_MILLIS;
  }

  private static double observedMillis(Instant since, Instant now) {
    return Duration.between(since, now).toMillis();
  }

  /**
   * Returns the level that applies to a team: the fair level, but no less than the mean of the
   * other teams. If all are over their part of engines that have too much work, only those that are
   * over the others are moved back. When the level alone decided, half of the attempts were shifted
   * at four times the usual load, most of them because of chance.
   */
  private double levelFor(Usage usage, double decay) {
    double othersWeight = weightSum - usage.work / usage.weightedWork;
    double othersMean = othersWeight <= 0 ? 0 : (total - usage.work * decay) / othersWeight;
    return Math.max(level, othersMean);
  }

  private void updateLevel(IntSupplier engines, Instant now) {
    if (levelAt != null && now.isBefore(levelAt.plus(LEVEL_AGE)) && !now.isBefore(levelAt)) {
      return;
    }
    levelAt = now;
    double decay = 1 / scale(now);
    int count = 0;
    total = 0;
    weightSum = 0;
    for (Usage usage : teams.values()) {
      if (usage.work > 0) {
        demands[count] = usage.work * decay;
        weights[count] = usage.work / usage.weightedWork;
        total += demands[count];
        weightSum += weights[count];
        count++;
      }
    }
    capacity = capacityMillis(engines.getAsInt(), now);
    level = MaxMinDivision.level(demands, weights, count, USABLE_PART * capacity);
    double unshifted = 0;
    for (Usage usage : teams.values()) {
      boolean isShifted =
          usage.work > 0 && usage.weightedWork * decay >= 2 * levelFor(usage, decay);
      unshifted += isShifted ? 0 : usage.work * decay;
    }
    unshiftedLoad = Math.min(1, unshifted / capacity);
  }

  /** Returns the engine time since the first observation, decayed like the recorded work. */
  private double capacityMillis(int engines, Instant now) {
    double observed = observedSince == null ? 0 : observedMillis(observedSince, now);
    return Math.max(1, engines * WINDOW_MILLIS * (1 - Math.pow(2, -observed / HALF_LIFE_MILLIS)));
  }

  /**
   * Returns the part of the engines' time that teams below twice the fair level used when the level
   * was computed, from 0 to 1. Their attempts pass shifted ones.
   */
  double unshiftedLoad() {
    return unshiftedLoad;
  }

  /** Returns whether a team may be reported, which happens at most once in an interval. */
  boolean tryReport(String team, Duration interval, Instant now) {
    Usage usage = teams.get(team);
    if (usage == null || now.isBefore(usage.reportedAt.plus(interval))) {
      return false;
    }
    usage.reportedAt = now;
    return true;
  }

  /** Forgets teams without recent grants, such as those that the configuration doesn't have. */
  void removeIdle(Instant now) {
    teams.values().removeIf(usage -> !now.isBefore(usage.grantedAt.plus(IDLE_TIME)));
    if (teams.isEmpty()) {
      observedSince = null;
      levelAt = null;
    }
  }

  /** Returns the number of teams that are kept. */
  int size() {
    return teams.size();
  }
}
