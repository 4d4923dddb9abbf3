package org.skylarkfork.core.relay;

import java.time.Duration;
import org.skylarkfork.core.overload.OverloadSettings;

/**
 * Settings of a deployment for the processing of requests.
 *
 * @param zone availability zone of the entry
 * @param retryRatio allowed number of retries per request
 * @param canaryShare share of new requests that a canary version receives
 * @param grace maximum duration of a graceful shutdown
 * @param overload parts in use that act under overload
 */
public record RelayRequestSettings(
    String zone, double retryRatio, double canaryShare, Duration grace, OverloadSettings overload) {

  /** Creates settings with all parts that act under overload. */
  public RelayRequestSettings(String zone, double retryRatio, double canaryShare, Duration grace) {
    this(zone, retryRatio, canaryShare, grace, OverloadSettings.DEFAULT);
  }
}
