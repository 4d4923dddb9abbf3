package org.skylarkfork.standin.announce;

/**
 * The load of an upstream at some earlier moment.
 *
 * @param running the number of requests being answered
 * @param queued the number of requests waiting
 * @param cacheUsed the share of the prefix cache in use, from 0 to 1
 * @param ageMillis the age of this report in milliseconds
 */
public record LoadReport(int running, int queued, double cacheUsed, long ageMillis) {}
