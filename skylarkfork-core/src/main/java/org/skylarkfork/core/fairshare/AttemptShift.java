package org.skylarkfork.core.fairshare;

/**
 * The decision on an attempt.
 *
 * @param ranks number of ranks by which the attempt is moved back at its engine; 0 for none
 * @param waitMillis estimated wait at the engine with this shift, in milliseconds
 */
public record AttemptShift(int ranks, double waitMillis) {}
