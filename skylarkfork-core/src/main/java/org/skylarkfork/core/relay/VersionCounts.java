package org.skylarkfork.core.relay;

/**
 * What one entry saw of one version of a service since the entry's start.
 *
 * @param service the service
 * @param version the version
 * @param answers attempts that ended, good or bad
 * @param failures attempts that failed at the upstream
 * @param firstByteMillis sum of the times to the first byte of good answers, in milliseconds
 */
public record VersionCounts(
    String service, String version, long answers, long failures, long firstByteMillis) {}
