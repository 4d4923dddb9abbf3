package org.skylarkfork.core.rollout;

/**
 * What is left of a roll-out's allowed exposure, and how many requests may be exposed next.
 *
 * @param allowed number of requests that the new version may get before it has proved good
 * @param spent number of requests that it got, answered or not
 * @param perMilli requests to the service in a millisecond
 */
record ExposureBudget(double allowed, double spent, double perMilli) {

  /** Time from an entry's sending until a decision that follows from it reaches all entries. */
  static final long REPORTING_MILLIS = 1000;

  /** Time to the first byte of a slow version's answer, in means of the old version's. */
  private static final double SLOW_MEANS = 8.0;

  /** Share of what is left that may be spent while the version is on trial. */
  private static final double TRIAL_SHARE = 0.6;

  /** Maximum share of sessions on trial, so that the old version stays in use for comparison. */
  private static final double MAX_SESSION_SHARE = 0.5;

  /** Returns the time in which a bad version shows itself, in milliseconds. */
  static double detectionMillis(double oldMeanMillis) {
    return REPORTING_MILLIS + slowMillis(oldMeanMillis);
  }

  /** Returns the time that a slow version takes to answer, in milliseconds. */
  static double slowMillis(double oldMeanMillis) {
    return SLOW_MEANS * oldMeanMillis;
  }

  /** Returns whether all requests of some time may be exposed without any evidence. */
  boolean covers(double millis) {
    return spent + perMilli * millis <= allowed;
  }

  /**
   * Returns whether nothing is left, counting what is sent until a decision reaches all entries.
   */
  boolean isSpent(double share) {
    return spent + perMilli * share * REPORTING_MILLIS >= allowed;
  }

  /**
   * Returns the share of sessions with which a trial takes no more than its part of what is left.
   *
   * @param trialMillis time in which a bad version shows itself
   * @param minShare minimum share
   */
  double sessionShare(double trialMillis, double minShare) {
    double left = Math.max(0, allowed - spent) * TRIAL_SHARE;
    double share = left / (perMilli * trialMillis);
    return Math.max(minShare, Math.min(share, MAX_SESSION_SHARE));
  }
}
