package org.skylarkfork.core.relay;

import java.time.Instant;

/**
 * An upstream that has asked an entry for a backoff, as shown to operators.
 *
 * @param id id of the upstream
 * @param service service that the upstream belongs to
 * @param address IP address and port
 * @param until time before which the entry sends nothing to the upstream
 */
public record BackedOffUpstream(String id, String service, String address, Instant until) {}
