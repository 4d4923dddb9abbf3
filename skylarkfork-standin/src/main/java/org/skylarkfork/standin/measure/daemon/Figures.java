package org.skylarkfork.standin.measure.daemon;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What one run gave.
 *
 * <p>A request without an answer counts in the percentiles with the whole time that its caller
 * would have waited, so that refusing does not look fast.
 *
 * @param deployment name of the deployment
 * @param policy name of the policy
 * @param faults names of the faults
 * @param drafts drafts asked for
 * @param draftsAnswered share of them that was answered
 * @param reached share of the answered drafts that meets the target
 * @param reachedDrafts the same of drafts without a session
 * @param reachedSessions the same of sessions, whose target is lower
 * @param costMicros mean cost of an answered draft, in millionths of the currency unit
 * @param sessionlessCostMicros the same of drafts without a session, which alone may be cascades
 * @param costPerReachedMicros cost of all drafts for each that meets the target
 * @param firstToken first token of streamed drafts
 * @param draftTime time of whole drafts
 * @param lookup lookups of the whole run
 * @param burstLookup lookups of the bursts
 * @param exposedRequests requests sent to a version after it turned bad
 * @param exposedSessions sessions among them
 * @param refused requests without an answer
 * @param falseNotRun refusals that wrongly say that the request was not run
 * @param doubles runs of issuing calls beyond the first
 * @param billsMissing answered requests without a bill
 * @param billsDouble bills beyond one for a request
 * @param sessionsMoved changes of a session's version other than by withdrawal
 * @param sentToWithdrawn drafts sent to a version after its withdrawal
 * @param unended requests that neither got an answer nor a refusal, or got two
 * @param fairness Jain's index of what the teams got of their due parts of the bursts' answered
 *     drafts, where none is due more than it asked for; 1 is even
 * @param worstTeam what the worst team got of its due part
 * @param refusals how many requests had which kind of refusal
 * @param verdicts what the sequential test found of versions, in order
 * @param exposedBySecond requests newly exposed in each second
 */
public record Figures(
    String deployment,
    String policy,
    List<String> faults,
    int drafts,
    double draftsAnswered,
    double reached,
    double reachedDrafts,
    double reachedSessions,
    double costMicros,
    double sessionlessCostMicros,
    double costPerReachedMicros,
    Percentiles firstToken,
    Percentiles draftTime,
    Percentiles lookup,
    Percentiles burstLookup,
    int exposedRequests,
    int exposedSessions,
    int refused,
    int falseNotRun,
    int doubles,
    int billsMissing,
    long billsDouble,
    int sessionsMoved,
    int sentToWithdrawn,
    int unended,
    double fairness,
    double worstTeam,
    Map<String, Integer> refusals,
    List<String> verdicts,
    List<Integer> exposedBySecond) {

  /** Copies the lists and the map. */
  public Figures {
    faults = List.copyOf(faults);
    refusals = Collections.unmodifiableMap(new TreeMap<>(refusals));
    verdicts = List.copyOf(verdicts);
    exposedBySecond = List.copyOf(exposedBySecond);
  }

  /**
   * Percentiles in milliseconds.
   *
   * @param count how many were measured
   * @param p50 half are at most as long
   * @param p95 95 of 100 are at most as long
   * @param p99 99 of 100 are at most as long
   */
  public record Percentiles(long count, double p50, double p95, double p99) {}

  /** Returns whether no promise was broken, whatever the policy. */
  public boolean keepsPromises() {
    return falseNotRun == 0
        && doubles == 0
        && billsMissing == 0
        && billsDouble == 0
        && sessionsMoved == 0
        && sentToWithdrawn == 0
        && unended == 0;
  }
}
