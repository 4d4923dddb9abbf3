package org.skylarkfork.core.relay;

/**
 * A reservation of an engine that a scheduler granted to an attempt.
 *
 * @param scheduler peer name of the scheduler
 * @param number number of the query that the scheduler answered
 */
record SchedulerGrant(String scheduler, long number) {}
