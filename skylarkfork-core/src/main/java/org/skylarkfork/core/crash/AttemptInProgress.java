package org.skylarkfork.core.crash;

import java.time.Instant;

/**
 * A request that an upstream processes.
 *
 * @param keys the request's keys
 * @param sentAt when it was sent to the upstream
 */
public record AttemptInProgress(RequestKeys keys, Instant sentAt) {}
