package org.skylarkfork.core.fairshare;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.IntSupplier;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.effect.TraceEffect;

/**
 * Decides by how many ranks a scheduler moves attempts back at their engines, so that teams over
 * their fair share don't delay the others.
 *
 * <p>Nobody is moved back without contention, and nobody so far that it would miss its deadline.
 */
public final class FairShares {

  /** Part of an objective that the shortest wait must exceed for contention. */
  private static final double CONTENTION_PART = 0.1;

  /** Objective that is assumed for requests that have none, in milliseconds. */
  private static final double DEFAULT_OBJECTIVE_MILLIS = 2000;

  /**
   * Part of the time until the deadline within which a shifted attempt must start. The estimate of
   * its wait rests on the load of the last seconds; the rest allows for its growth.
   */
  private static final double MAX_WAIT_PART = 0.8;

  /**
   * Highest load of other teams from which a wait is estimated. The wait grows without bound as the
   * load approaches 1.
   */
  private static final double MAX_PASSING_LOAD = 0.75;

  /** Time between two log lines on the same team. */
  private static final Duration REPORT_INTERVAL = Duration.ofSeconds(1);

  private final boolean enabled;
  private final Map<String, TeamShares> byService = new HashMap<>();
  private final ShiftedWork shiftedWork = new ShiftedWork();

  /**
   * Creates shares without recorded work.
   *
   * @param enabled whether attempts are moved back; if not, each decision is a shift of 0 and the
   *     wait in order of arrival
   */
  public FairShares(boolean enabled) {
    this.enabled = enabled;
  }

  /**
   * Decides on an attempt and records its work as granted to its team.
   *
   * @param attempt the attempt and its engine
   * @param engines number of engines of the service that this scheduler places prompts on, which is
   *     asked for from time to time
   * @param now the present time
   * @param output receives log lines and metrics
   */
  public AttemptShift decide(
      PlacedAttempt attempt, IntSupplier engines, Instant now, Output output) {
    if (!enabled) {
      return new AttemptShift(0, attempt.waitMillis());
    }
    TeamShares shares = byService.computeIfAbsent(attempt.service(), name -> new TeamShares());
    TeamShare share =
        isContended(attempt) ? shares.shareOf(attempt.team(), engines, now) : TeamShare.NOT_OVER;
    double passingLoad = share.shift() == 0 ? 0 : shares.unshiftedLoad();
    AttemptShift decision = inTime(attempt, share.shift(), passingLoad);
    shares.recordGrant(attempt.team(), attempt.rank(), attempt.workMillis(), now);
    if (decision.ranks() > 0) {
      int urgency = attempt.urgency().applyAsInt(decision.ranks());
      shiftedWork.add(attempt.engine(), urgency, attempt.workMillis());
      report(attempt, share, decision, shares, now, output);
    }
    return decision;
  }

  private static boolean isContended(PlacedAttempt attempt) {
    int objective = attempt.objectiveMillis();
    double millis = objective == 0 ? DEFAULT_OBJECTIVE_MILLIS : objective;
    return attempt.shortestWaitMillis() > CONTENTION_PART * millis;
  }

  /**
   * Returns the largest shift up to a given one with which the attempt starts in time.
   *
   * <p>The wait of an attempt that isn't shifted is refined only where it decides about a refusal.
   * Entries also take waits as a measure of load, from which they escalate fewer answers to larger
   * models. With refined waits they escalated more of them while the engines had more work than
   * usual: 9 instead of 5 in 100 requests of other teams were late during a burst of one team.
   */
  private AttemptShift inTime(PlacedAttempt attempt, int maxShift, double passingLoad) {
    double allowedMillis = MAX_WAIT_PART * attempt.leftMillis();
    for (int shift = maxShift; shift > 0; shift--) {
      double wait = waitMillis(attempt, shift, passingLoad);
      if (wait + attempt.workMillis() <= allowedMillis) {
        return new AttemptShift(shift, wait);
      }
    }
    boolean refusable = attempt.waitMillis() > attempt.leftMillis();
    return new AttemptShift(0, refusable ? waitMillis(attempt, 0, 0) : attempt.waitMillis());
  }

  /**
   * Returns the estimated wait of an attempt. It passes the shifted attempts of lower urgency, and
   * while a shifted one waits, further attempts of other teams pass it: a part of the work that
   * these teams were granted, which grows with the shift.
   *
   * <p>In virtual time with 24 teams and 21 engines, four seeds and five loads, attempts shifted by
   * one and two ranks took 0.8 to 1.3 times the expected time in the mean.
   */
  private double waitMillis(PlacedAttempt attempt, int shift, double passingLoad) {
    double engineWork = attempt.engineWorkMillis();
    double passed = shiftedWork.behind(attempt.engine(), attempt.urgency().applyAsInt(shift));
    double aheadPart = engineWork <= 0 ? 1 : Math.max(0, 1 - passed / engineWork);
    double passingPart = (shift + 1.0) / (TeamShares.MAX_SHIFT + 1);
    double load = Math.min(MAX_PASSING_LOAD, passingLoad) * passingPart;
    return attempt.waitMillis() * aheadPart / (1 - load);
  }

  private static void report(
      PlacedAttempt attempt,
      TeamShare share,
      AttemptShift decision,
      TeamShares shares,
      Instant now,
      Output output) {
    output.effect(new TraceEffect.Count("relay_team_shifts", String.valueOf(decision.ranks()), 1));
    if (shares.tryReport(attempt.team(), REPORT_INTERVAL, now)) {
      String facts =
          String.format(
              Locale.ROOT,
              "event=team_over_share team=%s service=%s share=%.3f level=%.3f shift=%d"
                  + " wait_ms=%.0f",
              attempt.team().isEmpty() ? "-" : attempt.team(),
              attempt.service(),
              share.share(),
              share.level(),
              decision.ranks(),
              decision.waitMillis());
      output.effect(new TraceEffect.LogLine(false, "relay", facts));
    }
  }

  /**
   * Records that a shifted attempt doesn't wait at its engine any more.
   *
   * @param engine id of the engine
   * @param urgency urgency of the attempt with its shift
   * @param workMillis work of the attempt as it was decided on, in milliseconds
   */
  public void recordStarted(String engine, int urgency, double workMillis) {
    shiftedWork.remove(engine, urgency, workMillis);
  }

  /** Forgets teams without recent work and services without teams. */
  public void removeIdle(Instant now) {
    byService.values().forEach(shares -> shares.removeIdle(now));
    byService.values().removeIf(shares -> shares.size() == 0);
  }
}
