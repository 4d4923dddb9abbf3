package org.skylarkfork.core.upstream;

/**
 * One run of an upstream: the lifetime of one of its processes.
 *
 * <p>An upstream may restart under the same id. The new process holds no state of the earlier one,
 * so observations of an earlier run and commands for it must not be applied to a later run.
 *
 * @param id id of the upstream
 * @param bornMillis start time of the process, in milliseconds since 1970; 0 if the upstream
 *     doesn't report it
 */
public record UpstreamRun(String id, long bornMillis) {

  /** Start time after that of every actual run; a run with it represents all runs of an id. */
  private static final long AFTER_EVERY_RUN = Long.MAX_VALUE;

  /**
   * Returns the value that represents all runs of an id, for stored records without a start time.
   */
  public static UpstreamRun allRunsOf(String id) {
    return new UpstreamRun(id, AFTER_EVERY_RUN);
  }

  /**
   * Returns whether a statement on this run also applies to another one, which is the same or an
   * earlier run of the same upstream.
   */
  public boolean covers(UpstreamRun other) {
    return id.equals(other.id) && other.bornMillis <= bornMillis;
  }
}
