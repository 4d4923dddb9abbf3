package org.skylarkfork.core.relay;

import java.time.Instant;

/**
 * An availability zone whose upstreams receive no requests until it is restored.
 *
 * @param zone the availability zone
 * @param since when the evacuation was committed, by the leader's clock
 */
public record Evacuation(String zone, Instant since) {}
