package org.skylarkfork.core.relay;

import java.time.Instant;

/**
 * An availability zone whose upstreams get no requests until it is taken back.
 *
 * @param zone the availability zone
 * @param since when that was agreed on, by the leader's clock
 */
public record Evacuation(String zone, Instant since) {}
