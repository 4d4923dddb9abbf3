package org.skylarkfork.core.upstream;

/**
 * The load that an upstream reports. It is outdated by its age and the delay of its transmission.
 *
 * @param running number of running requests
 * @param queued number of waiting requests
 * @param cacheUsed used fraction of the prefix cache, from 0 to 1
 * @param ageMillis age of the figures when they were sent, in milliseconds
 */
public record LoadReport(int running, int queued, double cacheUsed, long ageMillis) {

  /** The load of an idle upstream. */
  public static final LoadReport IDLE = new LoadReport(0, 0, 0.0, 0);
}
