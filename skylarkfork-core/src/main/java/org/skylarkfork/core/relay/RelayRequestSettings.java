package org.skylarkfork.core.relay;

import java.time.Duration;

/**
 * What a deployment sets for the decisions on requests.
 *
 * @param zone availability zone of the entry
 * @param retryRatio repeats that are allowed for each request
 * @param canaryShare share of new work that tries a new version
 * @param grace time that a stop may take
 */
public record RelayRequestSettings(
    String zone, double retryRatio, double canaryShare, Duration grace) {}
