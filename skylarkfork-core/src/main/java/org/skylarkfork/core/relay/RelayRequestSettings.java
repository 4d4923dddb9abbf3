package org.skylarkfork.core.relay;

import java.time.Duration;

/**
 * Settings of a deployment for the processing of requests.
 *
 * @param zone availability zone of the entry
 * @param retryRatio allowed number of retries per request
 * @param canaryShare share of new requests that a canary version receives
 * @param grace maximum duration of a graceful shutdown
 */
public record RelayRequestSettings(
    String zone, double retryRatio, double canaryShare, Duration grace) {}
