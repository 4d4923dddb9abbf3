package org.skylarkfork.core.order;

import java.time.Instant;

/**
 * The lease whose holder may send orders.
 *
 * @param holder process that holds or last held the lease
 * @param fencingNumber fencing number; increases with each grant
 * @param durationMillis time for which the lease is valid after each renewal, in milliseconds
 * @param orderMillis longest time that an order sent under the lease may take, in milliseconds
 * @param endsAt time, by the leader's clock, from which another holder may acquire the lease
 * @param isReleased whether the holder released the lease
 * @param unsafeMillis time for which orders of earlier holders may be in flight, in milliseconds
 *     from the grant, or from the release if the lease is released
 */
public record OrderLease(
    String holder,
    long fencingNumber,
    long durationMillis,
    long orderMillis,
    Instant endsAt,
    boolean isReleased,
    long unsafeMillis) {}
