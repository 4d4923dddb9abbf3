package org.skylarkfork.core.upstream;

/**
 * What an upstream says of its load; it is late by its age and more.
 *
 * @param running requests that run
 * @param queued requests that wait
 * @param cacheUsed used part of the prefix cache, from 0 to 1
 * @param ageMillis how old the figures were when they were sent, in milliseconds
 */
public record LoadReport(int running, int queued, double cacheUsed, long ageMillis) {

  /** No load at all. */
  public static final LoadReport IDLE = new LoadReport(0, 0, 0.0, 0);
}
