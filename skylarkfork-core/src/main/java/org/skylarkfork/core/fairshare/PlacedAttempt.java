package org.skylarkfork.core.fairshare;

import java.util.function.IntUnaryOperator;

/**
 * An attempt for which a scheduler has picked an engine.
 *
 * @param service service of the engines
 * @param team name of the team, or empty for none
 * @param rank rank of the request, 0 being the highest
 * @param objectiveMillis objective for the time to the first byte, in milliseconds; 0 for none
 * @param leftMillis time until the request's deadline, in milliseconds
 * @param engine id of the engine
 * @param engineWorkMillis work that waits at the engine, in milliseconds
 * @param shortestWaitMillis shortest wait at any engine that may receive the attempt, in
 *     milliseconds
 * @param waitMillis wait at the engine if the attempts there run in order of arrival, in
 *     milliseconds
 * @param workMillis time of the prefill, in milliseconds
 * @param urgency urgency at the engine for a shift, from 0 (first) to 9
 */
public record PlacedAttempt(
    String service,
    String team,
    int rank,
    int objectiveMillis,
    int leftMillis,
    String engine,
    double engineWorkMillis,
    double shortestWaitMillis,
    double waitMillis,
    double workMillis,
    IntUnaryOperator urgency) {}
