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
 */
public record VersionCounts(
    String service, String version, long answers, long failures, long firstByteMillis) {}
