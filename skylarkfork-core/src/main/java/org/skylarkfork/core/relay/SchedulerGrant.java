package org.skylarkfork.core.relay;

/**
 * An engine's place that a scheduler gave to an attempt.
 *
 * @param scheduler peer name of the scheduler
 * @param number number of the question that it answered
 */
record SchedulerGrant(String scheduler, long number) {}
