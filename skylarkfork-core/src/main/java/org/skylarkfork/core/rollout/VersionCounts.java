package org.skylarkfork.core.rollout;

/**
 * Counts of one entry for one version of a service, since the later one of the start of the entry
 * and the start of the service's newest roll-out.
 *
 * @param service the service
 * @param version the version
 * @param answers number of attempts that ended, including failures
 * @param failures number of attempts that failed at the upstream
 * @param firstByteMillis sum of the times to the first byte of successful answers, in milliseconds
 * @param attempts attempts sent, and those in progress
 */
public record VersionCounts(
    String service,
    String version,
    long answers,
    long failures,
    long firstByteMillis,
    AttemptCounts attempts) {

  /** Creates counts of results only, as older entries report them. */
  public VersionCounts(
      String service, String version, long answers, long failures, long firstByteMillis) {
    this(service, version, answers, failures, firstByteMillis, AttemptCounts.NONE);
  }

  /** Returns these results with attempts. */
  public VersionCounts withAttempts(AttemptCounts newAttempts) {
    return new VersionCounts(service, version, answers, failures, firstByteMillis, newAttempts);
  }

  /** Returns the number of attempts sent; an older entry reports the ended ones only. */
  long sent() {
    return Math.max(attempts.sent(), answers);
  }
}
