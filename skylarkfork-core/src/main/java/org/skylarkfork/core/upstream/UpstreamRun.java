package org.skylarkfork.core.upstream;

/**
 * One start of an upstream's process.
 *
 * <p>An upstream may start again under its id. It then holds nothing of before, so what was learned
 * of the earlier start, or said of it, must not be taken for the later one.
 *
 * @param id id of the upstream
 * @param bornMillis when the process started, in milliseconds since 1970; 0 if it doesn't say
 */
public record UpstreamRun(String id, long bornMillis) {

  /** Start that is later than each one: stands for all starts of an id. */
  private static final long AFTER_EVERY_RUN = Long.MAX_VALUE;

  /** Returns what stands for all starts of an id, as records without a start meant it. */
  public static UpstreamRun allRunsOf(String id) {
    return new UpstreamRun(id, AFTER_EVERY_RUN);
  }

  /** Returns whether what is said of this start holds for another one too: the same or earlier. */
  public boolean covers(UpstreamRun other) {
    return id.equals(other.id) && other.bornMillis <= bornMillis;
  }
}
